package quantity

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestDurations(t *testing.T) {
	assert.Equal(t, 1500*time.Microsecond, Milliseconds(1.5))
	assert.Equal(t, 2500*time.Millisecond, Seconds(2.5))
	assert.Equal(t, 100*time.Millisecond, Seconds(0.1))
	assert.Equal(t, -1500*time.Millisecond, Seconds(-1.5))
	assert.Equal(t, 576_599_359_489*time.Millisecond, Milliseconds(576_599_359_489))
	assert.Equal(t, time.Duration(math.MaxInt64), Seconds(1e300))
	assert.Equal(t, time.Duration(math.MinInt64), Milliseconds(-1e300))
}

func TestWhole(t *testing.T) {
	for _, figure := range []float64{0, 1, -3, 100_000, MaxExactInteger} {
		number, ok := Integer(figure)
		assert.True(t, ok)
		assert.Equal(t, int64(figure), number)
	}
	for _, figure := range []float64{0.5, -1.25, 2 * MaxExactInteger, math.Inf(1), math.NaN()} {
		_, ok := Integer(figure)
		assert.False(t, ok, "%v", figure)
	}
}

func TestAtLeastRoundsUpAndStaysBelowTheMost(t *testing.T) {
	assert.EqualValues(t, 0, CeilClamped(0, 10))
	assert.EqualValues(t, 3, CeilClamped(2.1, 10))
	assert.EqualValues(t, 10, CeilClamped(9.5, 10))
	assert.EqualValues(t, 10, CeilClamped(1e300, 10))
}

func TestMoreIsNeverShorter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		figures := rapid.SliceOfN(rapid.Float64(), 2, 2).Draw(t, "figures")
		less, more := min(figures[0], figures[1]), max(figures[0], figures[1])
		assert.LessOrEqual(t, Milliseconds(less), Milliseconds(more))
		assert.LessOrEqual(t, Seconds(less), Seconds(more))
	})
}
