package policy

import (
	"cmp"
	"math"
	"slices"
)

// moveBound moves the bound of the size ranges (one under ten workers) so that half of the work is below it.
func (d *Dispatcher) moveBound(size float64) {
	d.sizeBound = cmp.Or(d.sizeBound, size)
	d.sizeBound *= math.Exp(math.Copysign(0.05*min(size/d.meanRun, 4), size-d.sizeBound))
}

// rebuildLists splits the ready workers by size range and own or other zone, in this scheduler's order.
func (d *Dispatcher) rebuildLists() {
	d.candidates, d.ranges = [4][]*worker{}, min(max(len(d.ready)/5, 1), 2)
	for i, w := range d.ready {
		part := 2 * (i * d.ranges / len(d.ready))
		if w.order = w.rank; d.cfg.Replicas > owners && d.owns(w, owners) && d.speedAt(w, d.now) < w.speed {
			w.order = -1 / (1 + w.rank) // first: cold, and only its owners use it
		} else if w.Zone != d.cfg.Zone {
			part++
		}
		d.candidates[part] = append(d.candidates[part], w)
	}
	for _, list := range d.candidates {
		slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.order, b.order) })
	}
}

// rank orders workers by a hash weighted by scale: schedulers differ, so not all fill the same one first.
func (d *Dispatcher) rank(w *Worker) float64 {
	h := (uint64(w.ID)<<32 | uint64(uint32(d.cfg.Ordinal))) * 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return -math.Log(float64(h^h>>31)/(1<<64)) / max(w.Scale, 0.01)
}

// searchLimit is how many workers of a list to try: so few that each gets 2 or 3 jobs in 4 s and stays known.
func (d *Dispatcher) searchLimit() int {
	return min(max(2, 2*len(d.ready)/d.cfg.Replicas), max(1, int(8e8/d.meanGap)))
}

// owns reports whether this scheduler is one of the n that share w. All schedulers agree on these.
func (d *Dispatcher) owns(w *worker, n int) bool { return (int(w.ID)+d.cfg.Ordinal)%d.cfg.Replicas < n }

func byID(w *worker, id uint32) int { return cmp.Compare(w.ID, id) }
