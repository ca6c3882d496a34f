package sizing

import (
	"math"
	"time"
)

const (
	// WorkersPerRange is the number of workers that a Layout needs for each range. With fewer, all share one range.
	WorkersPerRange = 5
	// boundStep is how far the bounds move for a task of mean size, as logarithms, summed over all bounds: with more ranges
	// each bound has to be more precise.
	boundStep = 0.2
	// largestWeight limits the weight of one task, in mean sizes.
	largestWeight = 4
	// meanRate and shareRate are the weights of a new task in the mean size and in the shares of the work.
	meanRate, shareRate = 0.02, 0.005
)

// Map divides sizes into ranges with about equal shares of all work. The bounds follow the tasks observed.
// Make one with NewMap.
type Map struct {
	bounds []float64 // in nanoseconds, ascending: bounds[r] is between range r and r+1
	work   []float64 // moving mean, per task, of the work that arrives in each range
	mean   float64   // mean size, in nanoseconds; 0 before the first task
}

// NewMap returns a Map with the given number of ranges, at least one.
func NewMap(ranges int) *Map {
	ranges = max(ranges, 1)
	return &Map{bounds: make([]float64, ranges-1), work: make([]float64, ranges)}
}

// Ranges returns the number of ranges.
func (m *Map) Ranges() int { return len(m.work) }

// Observe adds the size of a task that arrives. A size that isn't positive is ignored.
func (m *Map) Observe(size time.Duration) {
	if size <= 0 {
		return
	}
	nanoseconds := float64(size)
	if m.mean == 0 {
		m.initialize(nanoseconds)
	}
	m.mean += (nanoseconds - m.mean) * meanRate
	m.moveBounds(nanoseconds)
	m.addWork(m.Range(size), nanoseconds)
}

func (m *Map) initialize(size float64) {
	m.mean = size
	for r := range m.bounds {
		m.bounds[r] = size
	}
	for r := range m.work {
		m.work[r] = size / float64(len(m.work))
	}
}

// moveBounds moves each bound towards the size that has its share of the work below it. At that size the steps up and down
// cancel out.
func (m *Map) moveBounds(size float64) {
	weight := boundStep / float64(len(m.work)) * min(size/m.mean, largestWeight)
	lowest := 0.0
	for r, bound := range m.bounds {
		below := float64(r+1) / float64(len(m.work))
		step := weight * below
		if size < bound {
			step = -weight * (1 - below)
		}
		m.bounds[r] = max(bound*math.Exp(step), lowest)
		lowest = m.bounds[r]
	}
}

func (m *Map) addWork(into int, size float64) {
	for r := range m.work {
		m.work[r] -= m.work[r] * shareRate
	}
	m.work[into] += size * shareRate
}

// Range returns the range of a size, from 0 for the smallest sizes to Ranges()-1.
func (m *Map) Range(size time.Duration) int {
	for r, bound := range m.bounds {
		if float64(size) <= bound {
			return r
		}
	}
	return len(m.bounds)
}

// Bound returns the largest size of range r. The last range is unbounded: its bound is the longest duration.
func (m *Map) Bound(r int) time.Duration {
	if r >= len(m.bounds) {
		return math.MaxInt64
	}
	return duration(m.bounds[r])
}

// Share returns the share of the recently observed work that is in range r. All shares add up to 1.
func (m *Map) Share(r int) float64 {
	sum := 0.0
	for _, work := range m.work {
		sum += work
	}
	if sum == 0 {
		return 1 / float64(len(m.work))
	}
	return m.work[r] / sum
}
