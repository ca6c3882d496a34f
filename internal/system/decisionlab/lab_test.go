package decisionlab

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func loadDeployments(t *testing.T) []*Deployment {
	t.Helper()
	files, err := filepath.Glob("../../../scenarios/decisions/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	var all []*Deployment
	for _, file := range files {
		d, err := Load(file)
		require.NoError(t, err)
		d.Seconds = 10
		all = append(all, d)
	}
	return all
}

// No policy, the project's scheduler included, earns more than the bound, at any load and with any faults.
func TestNoPolicyExceedsTheBound(t *testing.T) {
	for _, d := range loadDeployments(t) {
		for _, load := range []float64{0.3, 0.9, 1.6} {
			plan := Plan{Deployment: d.WithLoad(load), Policies: Policies(), FirstSeed: 1, Days: 4, Draws: 1}
			days, err := PlayAll(context.Background(), plan)
			require.NoError(t, err)
			for _, day := range days {
				assert.LessOrEqual(t, day.Bound, 1.0+1e-9)
				for policy, results := range day.Results {
					assert.LessOrEqual(t, results[0].Worth(), day.Bound+1e-9, "%s at %g, seed %d, %s", d.Name, load, day.Seed, policy)
					assert.Positive(t, results[0].Worth())
				}
			}
		}
	}
}

// A day with the same seeds always has the same result, and another day has another.
func TestPlayIsDeterministic(t *testing.T) {
	for _, d := range loadDeployments(t) {
		for _, policy := range Policies() {
			first, again := Play(d.Draw(7), policy, 1), Play(d.Draw(7), policy, 1)
			assert.Equal(t, first, again, "%s", policy)
		}
		assert.NotEqual(t, Play(d.Draw(7), Scheduler, 1).Earned, Play(d.Draw(8), Scheduler, 1).Earned)
	}
}

// On a day without faults and with spare capacity nearly all worth is earned.
func TestCalmDayEarnsNearlyAll(t *testing.T) {
	for _, d := range loadDeployments(t) {
		result := Play(d.WithoutTroubles().WithLoad(0.2).Draw(3), Scheduler, 1)
		assert.Greater(t, result.Worth(), 0.9, "%s", d.Name)
		assert.Equal(t, result.Jobs, result.Completed, "%s: all jobs end", d.Name)
	}
}

// The error for an invalid deployment names everything that is wrong.
func TestInvalidDeploymentIsRejected(t *testing.T) {
	_, err := Parse("wrong", []byte("name = \"x\"\nload = -1\n[[workers]]\ncount = 0\n[[jobs]]\nname = \"j\"\nfails = 1\n[[troubles]]\nkind = \"flood\"\n"))
	require.Error(t, err)
	for _, part := range []string{"seconds and load", "workers[0]", "jobs[0] j: share", "fails", `unknown kind "flood"`} {
		assert.ErrorContains(t, err, part)
	}
	_, err = Parse("unknown", []byte("nme = \"x\"\n"))
	assert.ErrorContains(t, err, "nme")
}
