package sizing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever power of its hint a task's size is, the Estimator finds it.
func TestEstimatorConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.Float64Range(0.2, 5).Draw(t, "factor")
		slope := rapid.Float64Range(0, 1.5).Draw(t, "slope")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		const middle = 1e9
		truth := func(hint time.Duration) float64 { return middle * factor * math.Pow(float64(hint)/middle, slope) }
		estimator := NewEstimator()
		for range 4000 {
			hint := time.Duration(middle * math.Exp(rng.NormFloat64()))
			noise := math.Exp(0.2 * rng.NormFloat64())
			estimator.ObserveHint(hint)
			estimator.ObserveRun(hint, time.Duration(truth(hint)*noise))
		}
		for _, hint := range []time.Duration{middle / 4, middle, middle * 4} {
			require.InDelta(t, 0, math.Log(float64(estimator.Size(hint))/truth(hint)), 0.4, "hint %v", hint)
		}
		require.Equal(t, 4000, estimator.Runs())
	})
}

// No input gives a size below zero, nor panics.
func TestEstimatorTakesAnything(t *testing.T) {
	durations := rapid.Map(rapid.Int64(), func(n int64) time.Duration { return time.Duration(n) })
	rapid.Check(t, func(t *rapid.T) {
		estimator := NewEstimator()
		for range rapid.IntRange(0, 50).Draw(t, "tasks") {
			hint := durations.Draw(t, "hint")
			estimator.ObserveHint(hint)
			require.GreaterOrEqual(t, estimator.Size(hint), time.Duration(0))
			estimator.ObserveRun(hint, durations.Draw(t, "measured"))
		}
		require.GreaterOrEqual(t, estimator.Size(durations.Draw(t, "last")), time.Duration(0))
	})
}

func TestEstimatorBeforeAnyRun(t *testing.T) {
	estimator := NewEstimator()
	estimator.ObserveHint(time.Second)
	assert.InDelta(t, time.Second, estimator.Size(time.Second), 10, "a hint is believed")
	assert.InDelta(t, time.Second, estimator.Size(0), 10, "no hint stands for the mean one")
	assert.InDelta(t, 2*time.Second, estimator.Size(4*time.Second), 10, "half of its distance from the mean, as logarithms")
	assert.Zero(t, estimator.Runs())
}
