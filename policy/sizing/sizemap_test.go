package sizing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawMap(t *rapid.T) *Map {
	sizes := NewMap(rapid.IntRange(0, 6).Draw(t, "ranges"))
	for _, size := range rapid.SliceOfN(rapid.Int64Range(-10, int64(time.Hour)), 0, 200).Draw(t, "sizes") {
		sizes.Observe(time.Duration(size))
	}
	return sizes
}

func TestMapCoversAllSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes, shares := drawMap(t), 0.0
		for r := range sizes.Ranges() {
			shares += sizes.Share(r)
			if r > 0 {
				require.LessOrEqual(t, sizes.Bound(r-1), sizes.Bound(r))
			}
		}
		require.InDelta(t, 1, shares, 1e-9)
		one := time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "one"))
		more := time.Duration(rapid.Int64Range(int64(one), math.MaxInt64).Draw(t, "more"))
		require.GreaterOrEqual(t, sizes.Range(one), 0)
		require.LessOrEqual(t, sizes.Range(one), sizes.Range(more))
		require.Less(t, sizes.Range(more), sizes.Ranges())
	})
}

func TestLayoutAssignsAllWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := drawMap(t)
		workers := make([]int, rapid.IntRange(0, 300).Draw(t, "workers"))
		for i := range workers {
			workers[i] = i
		}
		layout := sizes.Layout(len(workers))
		if len(workers) < sizes.Ranges()*WorkersPerRange {
			require.Equal(t, 1, layout.Ranges())
		} else {
			require.Equal(t, sizes.Ranges(), layout.Ranges())
		}
		var all []int
		for r := range layout.Ranges() {
			own := Workers(layout, r, workers)
			all = append(all, own...)
			if layout.Ranges() > 1 {
				require.NotEmpty(t, own)
			}
			requireByDistance(t, r, layout)
		}
		require.True(t, slices.Equal(workers, all), "want contiguous, disjoint parts with all workers: %v", all)
		requireInProportion(t, sizes, layout, len(workers))
		last := sizes.Ranges() - 1
		require.Equal(t, layout.Order(layout.Ranges()-1), layout.Order(last), "every range of the map has an order")
	})
}

func requireByDistance(t *rapid.T, own int, layout Layout) {
	order := layout.Order(own)
	require.Equal(t, own, order[0])
	for i := 1; i < len(order); i++ {
		require.GreaterOrEqual(t, max(order[i]-own, own-order[i]), max(order[i-1]-own, own-order[i-1]))
	}
	sorted := slices.Sorted(slices.Values(order))
	for r := range layout.Ranges() {
		require.Equal(t, r, sorted[r])
	}
	require.Len(t, order, layout.Ranges())
}

// requireInProportion checks that each boundary is in proportion to the shares, except where each range needs one worker.
func requireInProportion(t *rapid.T, sizes *Map, layout Layout, workers int) {
	if layout.Ranges() == 1 {
		return
	}
	share := 0.0
	for r := range layout.Ranges() - 1 {
		share += sizes.Share(r)
		_, end := layout.Span(r)
		least, most := float64(r+1), float64(workers-(layout.Ranges()-1-r))
		wanted := min(max(share*float64(workers), least), most)
		require.InDelta(t, wanted, end, float64(layout.Ranges()))
	}
}

// The bounds converge to equal shares of the work for all ranges, and follow when sizes change.
func TestMapConvergesToEqualShares(t *testing.T) {
	for ranges := 2; ranges <= 4; ranges++ {
		sizes, rng := NewMap(ranges), rand.New(rand.NewPCG(uint64(ranges), 1))
		for _, mean := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
			draw := func() time.Duration { return time.Duration(float64(mean) * math.Exp(rng.NormFloat64())) }
			for range 3000 {
				sizes.Observe(draw())
			}
			work, sum := make([]float64, ranges), 0.0
			for range 20000 {
				size := draw()
				work[sizes.Range(size)] += float64(size)
				sum += float64(size)
			}
			for r := range work {
				assert.InDelta(t, 1/float64(ranges), work[r]/sum, 0.15, "range %d of %d, mean %v", r, ranges, mean)
			}
		}
	}
}

func TestLayoutFollowsTheShares(t *testing.T) {
	sizes := NewMap(2)
	sizes.initialize(1e9)
	sizes.work = []float64{3, 1}
	layout := sizes.Layout(20)
	begin, end := layout.Span(0)
	assert.Equal(t, []int{0, 15}, []int{begin, end})
	begin, end = layout.Span(1)
	assert.Equal(t, []int{15, 20}, []int{begin, end})
	assert.Equal(t, []int{1, 0}, layout.Order(1))
	few := sizes.Layout(2*WorkersPerRange - 1)
	begin, end = few.Span(1)
	assert.Equal(t, []int{0, 9}, []int{begin, end})
	assert.Equal(t, []int{0}, few.Order(1))
}

func TestByDistancePrefersLargerTasks(t *testing.T) {
	assert.Equal(t, []int{1, 2, 0, 3}, byDistance(1, 4))
}
