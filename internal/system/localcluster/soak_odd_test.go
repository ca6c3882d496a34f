package localcluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/jobspec"
)

// Odd jobs have to be valid, and the checker has to know what was submitted. Steps without tasks have to be drawn in every place.
func TestOddJobsAreValidAndDrawStepsWithoutTasks(t *testing.T) {
	route := &clusterconfig.Route{Backend: "farm", MaxRetries: 3}
	drawn := map[string]int{}
	for seed := range uint64(40) {
		generator := newJobGenerator(seed)
		for range 40 {
			draft, shape, err := generator.generateSoak(kindQuick, route, time.Now(), time.Minute)
			require.NoError(t, err)
			if shape != shapeOdd {
				continue
			}
			spec, err := jobspec.Parse(draft.body)
			require.NoError(t, err)
			require.Len(t, draft.job.Stages, len(spec.Stages))
			require.Equal(t, spec.Repetitions, draft.job.Repetitions)
			for i := range spec.Stages {
				submitted, checked := &spec.Stages[i], &draft.job.Stages[i]
				require.Equal(t, submitted.Count, checked.Count)
				require.Equal(t, submitted.DependsOn, checked.DependsOn)
				require.Equal(t, submitted.Colocation, checked.Colocation)
				require.Equal(t, submitted.SameRack, checked.SameRack)
				countEmptyStep(drawn, spec, i)
			}
			if spec.Tasks() == 0 {
				drawn["whole job"]++
			}
		}
	}
	for _, place := range []string{"first", "middle", "last", "gang", "timed", "whole job"} {
		assert.Positive(t, drawn[place], place)
	}
}

func countEmptyStep(drawn map[string]int, spec *jobspec.Spec, index int) {
	if spec.Stages[index].Count > 0 || spec.Tasks() == 0 {
		return
	}
	switch index {
	case 0:
		drawn["first"]++
	case len(spec.Stages) - 1:
		drawn["last"]++
	default:
		drawn["middle"]++
	}
	if spec.Stages[index].Gang {
		drawn["gang"]++
	}
	if spec.HasSchedule() {
		drawn["timed"]++
	}
}
