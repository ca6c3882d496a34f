package policy

import (
	"cmp"
	"math"
	"slices"
)

// remap moves the bound of the two size ranges (one under ten workers) to where half of the work is below.
func (d *Dispatcher) remap(size float64) {
	d.bound = cmp.Or(d.bound, size)
	d.bound *= math.Exp(math.Copysign(0.05*min(size/d.meanRun, 4), size-d.bound))
}

// relist deals the workers out to their ranges, own zone and others, in this scheduler's order.
func (d *Dispatcher) relist() {
	d.near, d.ranges = [4][]*worker{}, min(max(len(d.order)/5, 1), 2)
	for i, w := range d.order {
		part := 2 * (i * d.ranges / len(d.order))
		if w.place = w.rank; d.cfg.Replicas > keepers && d.keeps(w, keepers) && d.power(w, d.now) < w.speed {
			w.place = -1 / (1 + w.rank) // cold and for this scheduler: others stay away
		} else if w.Zone != d.cfg.Zone {
			part++
		}
		d.near[part] = append(d.near[part], w)
	}
	for _, list := range d.near {
		slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.place, b.place) })
	}
}

// rank is each scheduler's own lasting order of workers, by size: in a common one all would fill the same.
func (d *Dispatcher) rank(w *Worker) float64 {
	h := (uint64(w.ID)<<32 | uint64(uint32(d.cfg.Ordinal))) * 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return -math.Log(float64(h^h>>31)/(1<<64)) / max(w.Scale, 0.01)
}

// tries is how many workers of a list are looked at: few enough to be known, each by 2 or 3 jobs in 4 s.
func (d *Dispatcher) tries() int {
	return min(max(2, 2*len(d.order)/d.cfg.Replicas), max(1, int(8e8/d.gap)))
}

// keeps tells whether this scheduler is one of the few that share a worker, the same few for all who ask.
func (d *Dispatcher) keeps(w *worker, few int) bool {
	return (int(w.ID)+d.cfg.Ordinal)%d.cfg.Replicas < few
}

func byID(w *worker, id uint32) int { return cmp.Compare(w.ID, id) }
