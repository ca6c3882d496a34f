package policy

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gaugeslip/policy/sizing"
)

// The dispatchers' estimate and that of package sizing are one rule: told the same, they say the same, to the nanosecond.
func TestFitIsTheEstimatorOfSizing(t *testing.T) {
	duration := rapid.Map(rapid.Int64Range(1, int64(time.Hour)), func(n int64) time.Duration { return time.Duration(n) })
	rapid.Check(t, func(t *rapid.T) {
		line, estimator := unmeasured, sizing.NewEstimator()
		for range rapid.IntRange(1, 400).Draw(t, "tasks") {
			hint, measured := duration.Draw(t, "hint"), duration.Draw(t, "measured")
			line.hinted(math.Log(float64(hint)))
			estimator.ObserveHint(hint)
			if size := line.size(float64(hint)); size < math.MaxInt64 {
				require.Equal(t, time.Duration(size), estimator.Size(hint))
			} else {
				require.Equal(t, time.Duration(math.MaxInt64), estimator.Size(hint))
			}
			line.learn(math.Log(float64(hint)), math.Log(float64(measured)))
			estimator.ObserveRun(hint, measured)
		}
	})
}
