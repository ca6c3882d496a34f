package localcluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/jobspec"
)

// The job known to the workers' checker has to match the specification that the scheduler parses, and every task has to fit a worker.
func TestGeneratedJobsMatchSubmittedSpecs(t *testing.T) {
	route := &clusterconfig.Route{Backend: "farm", MaxRetries: 3}
	for seed := range uint64(30) {
		generator := newJobGenerator(seed)
		for kind := range kindResident + 1 {
			draft, err := generator.generate(kind, route)
			require.NoError(t, err)
			spec, err := jobspec.Parse(draft.body)
			require.NoError(t, err)
			require.Equal(t, draft.job.Spec, spec.Text)
			require.Len(t, draft.job.Stages, len(spec.Stages))
			longest := time.Duration(0)
			for i := range spec.Stages {
				submitted, checked := &spec.Stages[i], &draft.job.Stages[i]
				require.Equal(t, submitted.Count, checked.Count)
				require.EqualValues(t, submitted.CPU, checked.Need.CPU)
				require.EqualValues(t, submitted.GPUs, checked.Need.GPUs)
				require.Equal(t, submitted.DependsOn, checked.DependsOn)
				require.Equal(t, submitted.Gang, checked.Gang)
				require.Equal(t, submitted.Checkpoints, checked.Checkpoints)
				require.LessOrEqual(t, checked.Need.CPU, workerCPU)
				require.LessOrEqual(t, checked.Need.MemoryMB, workerMemoryMB)
				require.LessOrEqual(t, checked.Need.GPUs, workerGPUs)
				longest += checked.Work
			}
			require.Equal(t, longest, draft.work, "in all kinds of job each stage depends on the previous one")
			_, ok := jobspec.ParseID(draft.id)
			require.True(t, ok)
		}
	}
}

func TestGeneratedJobsAreReproducible(t *testing.T) {
	route := &clusterconfig.Route{Backend: "farm"}
	first, err := newJobGenerator(5).generate(kindBatch, route)
	require.NoError(t, err)
	second, err := newJobGenerator(5).generate(kindBatch, route)
	require.NoError(t, err)
	require.Equal(t, first, second)
}

func TestConfigurationVariants(t *testing.T) {
	builtIn, err := loadConfiguration("")
	require.NoError(t, err)
	require.Equal(t, []string{"farm", "render"}, builtIn.services())
	require.True(t, builtIn.hasPreconditions("farm"))
	require.False(t, builtIn.hasPreconditions("unknown"))

	body, err := builtIn.withVersion(9)
	require.NoError(t, err)
	next, err := clusterconfig.Parse(body)
	require.NoError(t, err)
	require.EqualValues(t, 9, next.Version)
	require.Equal(t, builtIn.parsed.Routes, next.Routes)

	body, err = builtIn.withProbeRoute(2)
	require.NoError(t, err)
	withProbe, err := clusterconfig.Parse(body)
	require.NoError(t, err)
	_, _, ok := clusterconfig.NewRouter(withProbe).Match(probeHost, probePrefix)
	require.True(t, ok)

	_, err = loadConfiguration("missing.json")
	require.Error(t, err)
}

func TestJobIDOfStart(t *testing.T) {
	require.Equal(t, "5c0e7a21d94b36f8", jobIDOfStart([]byte(`{"task":"5c0e7a21d94b36f8.0.1.17","attempt":2}`)))
	require.Empty(t, jobIDOfStart([]byte(`{"attempt":2}`)))
}
