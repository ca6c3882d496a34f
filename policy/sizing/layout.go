package sizing

import "math"

// Layout assigns workers to the ranges of a Map: each range has a contiguous part of the sorted workers, in proportion to its
// share of the work, at least one. Schedulers that know the same workers and shares have equal Layouts.
// A Layout is immutable: make a new one with Map.Layout when the workers or the shares have changed.
type Layout struct {
	ends   []int   // index after the last worker of each range
	orders [][]int // for each range, all ranges by distance from it
}

// Layout returns the Layout of a number of workers. All share one range if there are under WorkersPerRange for each range.
func (m *Map) Layout(workers int) Layout {
	workers = max(workers, 0)
	ranges := m.Ranges()
	if workers < ranges*WorkersPerRange {
		return Layout{ends: []int{workers}, orders: [][]int{{0}}}
	}
	layout := Layout{ends: make([]int, ranges), orders: make([][]int, ranges)}
	share, last := 0.0, 0
	for r := range ranges {
		share += m.Share(r)
		wanted := int(math.Round(share * float64(workers)))
		last = min(max(wanted, last+1), workers-(ranges-1-r))
		layout.ends[r] = last
		layout.orders[r] = byDistance(r, ranges)
	}
	layout.ends[ranges-1] = workers
	return layout
}

// byDistance returns all ranges from its own outwards. Of two at equal distance, the one of larger tasks comes first: larger
// tasks have more slack.
func byDistance(own, ranges int) []int {
	order := []int{own}
	for distance := 1; distance < ranges; distance++ {
		if own+distance < ranges {
			order = append(order, own+distance)
		}
		if own-distance >= 0 {
			order = append(order, own-distance)
		}
	}
	return order
}

// Ranges returns the number of ranges to which workers are assigned: that of the Map, or one.
func (l Layout) Ranges() int { return len(l.ends) }

// Order returns the ranges in which to search for a worker for a task of range r of the Map: its own, then the others by
// distance. The caller must not modify the result.
func (l Layout) Order(r int) []int {
	return l.orders[min(r, len(l.orders)-1)]
}

// Span returns the half-open interval of the sorted workers that belongs to range r of the Map.
func (l Layout) Span(r int) (begin, end int) {
	r = min(r, len(l.ends)-1)
	if r > 0 {
		begin = l.ends[r-1]
	}
	return begin, l.ends[r]
}

// Workers returns the workers of range r. The sorted workers must be as many as the Layout was made for.
func Workers[W any](l Layout, r int, sorted []W) []W {
	begin, end := l.Span(r)
	return sorted[begin:end:end]
}
