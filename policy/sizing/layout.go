package sizing

import "math"

// Layout deals a number of workers out to the ranges of a Map: each range has a contiguous part of the sorted workers, in
// proportion to its share of the work, one at least. Every scheduler that knows the same workers and shares has the same.
// A Layout doesn't change; make another with Map.Layout when workers come or go, or when the shares have moved.
type Layout struct {
	ends   []int   // behind the last worker of each range
	orders [][]int // for each range, all ranges by distance
}

// Layout returns the ranges of so many workers: one range for all while there are under WorkersPerRange for each.
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

// byDistance returns all ranges from the own one outwards. Of two as far the one of larger tasks comes first: they have more
// time to spare.
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

// Ranges returns how many ranges the workers are dealt out to: those of the Map, or one.
func (l Layout) Ranges() int { return len(l.ends) }

// Order returns the ranges in which to look for a worker for a task of range r of the Map: its own, then the others by
// distance. The caller mustn't change it.
func (l Layout) Order(r int) []int {
	return l.orders[min(r, len(l.orders)-1)]
}

// Span returns where the workers of range r of the Map begin and end among the sorted ones, the end not included.
func (l Layout) Span(r int) (begin, end int) {
	r = min(r, len(l.ends)-1)
	if r > 0 {
		begin = l.ends[r-1]
	}
	return begin, l.ends[r]
}

// Workers returns the part of the sorted workers that range r has, of as many as the Layout was made for.
func Workers[W any](l Layout, r int, sorted []W) []W {
	begin, end := l.Span(r)
	return sorted[begin:end:end]
}
