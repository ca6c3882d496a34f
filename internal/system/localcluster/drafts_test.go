package localcluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/jobspec"
)

// What the workers' checker is told of a job is what the scheduler reads in it, and every task fits a worker.
func TestDraftsAgreeWithWhatIsHandedIn(t *testing.T) {
	route := &clusterconfig.Route{Backend: "farm", MaxRetries: 3}
	for seed := range uint64(30) {
		drafter := newDrafter(seed)
		for kind := range kindResident + 1 {
			drawn, err := drafter.draw(kind, route)
			require.NoError(t, err)
			spec, err := jobspec.Parse(drawn.body)
			require.NoError(t, err)
			require.Equal(t, drawn.job.Spec, spec.Text)
			require.Len(t, drawn.job.Stages, len(spec.Stages))
			longest := time.Duration(0)
			for i := range spec.Stages {
				handed, told := &spec.Stages[i], &drawn.job.Stages[i]
				require.Equal(t, handed.Count, told.Count)
				require.EqualValues(t, handed.CPU, told.Need.CPU)
				require.EqualValues(t, handed.GPUs, told.Need.GPUs)
				require.Equal(t, handed.DependsOn, told.DependsOn)
				require.Equal(t, handed.Gang, told.Gang)
				require.Equal(t, handed.Checkpoints, told.Checkpoints)
				require.LessOrEqual(t, told.Need.CPU, workerCPU)
				require.LessOrEqual(t, told.Need.MemoryMB, workerMemoryMB)
				require.LessOrEqual(t, told.Need.GPUs, workerGPUs)
				longest += told.Work
			}
			require.Equal(t, longest, drawn.work, "all of these are chains")
			_, ok := jobspec.ParseID(drawn.id)
			require.True(t, ok)
		}
	}
}

func TestDraftsRepeat(t *testing.T) {
	route := &clusterconfig.Route{Backend: "farm"}
	first, err := newDrafter(5).draw(kindBatch, route)
	require.NoError(t, err)
	again, err := newDrafter(5).draw(kindBatch, route)
	require.NoError(t, err)
	require.Equal(t, first, again)
}

func TestConfigurations(t *testing.T) {
	built, err := loadConfiguration("")
	require.NoError(t, err)
	require.Equal(t, []string{"farm", "render"}, built.services())
	require.True(t, built.guarded("farm"))
	require.False(t, built.guarded("unknown"))

	body, err := built.renumbered(9)
	require.NoError(t, err)
	next, err := clusterconfig.Parse(body)
	require.NoError(t, err)
	require.EqualValues(t, 9, next.Version)
	require.Equal(t, built.parsed.Routes, next.Routes)

	body, err = built.withProbe(2)
	require.NoError(t, err)
	probed, err := clusterconfig.Parse(body)
	require.NoError(t, err)
	_, _, ok := clusterconfig.NewRouter(probed).Match(probeHost, probePrefix)
	require.True(t, ok)

	_, err = loadConfiguration("missing.json")
	require.Error(t, err)
}

func TestJobOfStart(t *testing.T) {
	require.Equal(t, "5c0e7a21d94b36f8", jobOfStart([]byte(`{"task":"5c0e7a21d94b36f8.0.1.17","attempt":2}`)))
	require.Empty(t, jobOfStart([]byte(`{"attempt":2}`)))
}
