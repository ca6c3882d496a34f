package waiting

import "time"

// timeHeap is a 4-ary min-heap of entries by time. The position of each entry is stored beside the entries, so that one
// in the middle is removed in O(log n) without a search. Heaps that never hold the same entry at the same time share
// one index. Ties are broken by entry number, which makes equal histories give equal orders.
type queue struct {
	nodes slab[node]
	place *slab[uint32] // by entry; 0: in no heap, else the node's position + 1
}

type node struct {
	at time.Duration
	of uint32
}

func (a *node) before(b *node) bool { return a.at < b.at || a.at == b.at && a.of < b.of }

func (q *queue) len() int { return q.nodes.n }

// earliest returns the earliest time in the heap.
func (q *queue) next() (time.Duration, bool) {
	if q.nodes.n == 0 {
		return 0, false
	}
	return q.nodes.at(0).at, true
}

// due returns the first entry if its time has come.
func (q *queue) due(now time.Duration) (uint32, bool) {
	if q.nodes.n == 0 || q.nodes.at(0).at > now {
		return 0, false
	}
	return q.nodes.at(0).of, true
}

func (q *queue) push(of uint32, at time.Duration) {
	q.up(q.nodes.push(node{at, of}))
}

// contains reports whether an entry is in this heap.
func (q *queue) holds(of uint32) bool {
	p := *q.place.at(of)
	return p > 0 && int(p) <= q.nodes.n && q.nodes.at(p-1).of == of
}

// remove removes an entry if it is in this heap.
func (q *queue) remove(of uint32) {
	if !q.holds(of) {
		return
	}
	i := *q.place.at(of) - 1
	*q.place.at(of) = 0
	last := uint32(q.nodes.n - 1)
	moved := *q.nodes.at(last)
	if q.nodes.pop(); i == last {
		return
	}
	*q.nodes.at(i) = moved
	if q.up(i); q.nodes.at(i).of == moved.of {
		q.down(i)
	}
}

func (q *queue) set(i uint32, n node) {
	*q.nodes.at(i) = n
	*q.place.at(n.of) = i + 1
}

func (q *queue) up(i uint32) {
	n := *q.nodes.at(i)
	for i > 0 {
		p := (i - 1) / 4
		if !n.before(q.nodes.at(p)) {
			break
		}
		q.set(i, *q.nodes.at(p))
		i = p
	}
	q.set(i, n)
}

func (q *queue) down(i uint32) {
	n := *q.nodes.at(i)
	size := uint32(q.nodes.n)
	for {
		first := 4*i + 1
		if first >= size {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, size); c++ {
			if q.nodes.at(c).before(q.nodes.at(least)) {
				least = c
			}
		}
		if !q.nodes.at(least).before(&n) {
			break
		}
		q.set(i, *q.nodes.at(least))
		i = least
	}
	q.set(i, n)
}
