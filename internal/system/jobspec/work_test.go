package jobspec

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// diamond returns a spec with two parallel branches between a first and a last stage. The second branch takes longer.
func diamond() *Spec {
	return &Spec{Stages: []Stage{
		{Count: 2, CPU: 500, Estimated: 1 * time.Second},
		{Count: 1, CPU: 1000, Estimated: 2 * time.Second, DependsOn: []int{0}},
		{Count: 3, CPU: 2000, GPUs: 1, Estimated: 5 * time.Second, DependsOn: []int{0}},
		{Count: 1, Estimated: 1 * time.Second, DependsOn: []int{1, 2}},
		{Count: 1, Estimated: 4 * time.Second},
	}}
}

func TestChains(t *testing.T) {
	spec := diamond()
	assert.Equal(t, 7*time.Second, spec.CriticalPath())
	assert.Equal(t, []time.Duration{1e9, 3e9, 6e9, 7e9, 4e9}, spec.LongestPathsTo())
	assert.Equal(t, []time.Duration{7e9, 3e9, 6e9, 1e9, 4e9}, spec.LongestPathsFrom())
	assert.Zero(t, (&Spec{}).CriticalPath())
}

// A step without tasks has no work: its estimate would give the job a later deadline than it is measured by.
func TestStepWithoutTasksAddsNothingToChains(t *testing.T) {
	spec := &Spec{Stages: []Stage{
		{Count: 1, Estimated: 2 * time.Second},
		{Estimated: time.Hour, DependsOn: []int{0}},
		{Count: 1, Estimated: time.Second, DependsOn: []int{1}},
	}}
	assert.Equal(t, 3*time.Second, spec.CriticalPath())
	assert.Equal(t, []time.Duration{2e9, 2e9, 3e9}, spec.LongestPathsTo())
	assert.Equal(t, []time.Duration{3e9, 1e9, 1e9}, spec.LongestPathsFrom())
}

func TestWorkCountsAGPUAsCores(t *testing.T) {
	spec := diamond()
	assert.InDelta(t, 10, spec.Stages[2].Cores(), 1e-9)
	assert.InDelta(t, 50_000, spec.Stages[2].Work(), 1e-6)
	assert.InDelta(t, 2*0.5*1000+1*1*2000+3*10*5000, spec.Work(), 1e-6)
}

func TestPathsMeetInEveryStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		longest, upTo, from := spec.CriticalPath(), spec.LongestPathsTo(), spec.LongestPathsFrom()
		reached := len(spec.Stages) == 0
		for index := range spec.Stages {
			through := upTo[index] + from[index] - spec.Stages[index].Duration()
			require.LessOrEqual(t, through, longest)
			reached = reached || through == longest
			for _, step := range spec.Stages[index].DependsOn {
				require.GreaterOrEqual(t, upTo[index], upTo[step]+spec.Stages[index].Duration())
			}
		}
		require.True(t, reached)
	})
}
