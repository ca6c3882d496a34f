package waiting

import "time"

// timeHeap is a 4-ary min-heap of entries by time. The position of each entry is stored beside the entries, so that one
// in the middle is removed in O(log n) without a search. Heaps that never hold the same entry at the same time share
// one index. Ties are broken by entry number, which makes equal histories give equal orders.
type timeHeap struct {
	nodes slab[heapNode]
	index *slab[uint32] // by entry; 0: in no heap, else the node's position + 1
}

type heapNode struct {
	at    time.Duration
	entry uint32
}

func (a *heapNode) before(b *heapNode) bool { return a.at < b.at || a.at == b.at && a.entry < b.entry }

func (h *timeHeap) len() int { return h.nodes.n }

// earliest returns the earliest time in the heap.
func (h *timeHeap) earliest() (time.Duration, bool) {
	if h.nodes.n == 0 {
		return 0, false
	}
	return h.nodes.at(0).at, true
}

// due returns the first entry if its time has come.
func (h *timeHeap) due(now time.Duration) (uint32, bool) {
	if h.nodes.n == 0 || h.nodes.at(0).at > now {
		return 0, false
	}
	return h.nodes.at(0).entry, true
}

func (h *timeHeap) push(of uint32, at time.Duration) {
	h.up(h.nodes.push(heapNode{at, of}))
}

// contains reports whether an entry is in this heap.
func (h *timeHeap) contains(of uint32) bool {
	p := *h.index.at(of)
	return p > 0 && int(p) <= h.nodes.n && h.nodes.at(p-1).entry == of
}

// remove removes an entry if it is in this heap.
func (h *timeHeap) remove(of uint32) {
	if !h.contains(of) {
		return
	}
	i := *h.index.at(of) - 1
	*h.index.at(of) = 0
	last := uint32(h.nodes.n - 1)
	moved := *h.nodes.at(last)
	if h.nodes.pop(); i == last {
		return
	}
	*h.nodes.at(i) = moved
	if h.up(i); h.nodes.at(i).entry == moved.entry {
		h.down(i)
	}
}

func (h *timeHeap) set(i uint32, n heapNode) {
	*h.nodes.at(i) = n
	*h.index.at(n.entry) = i + 1
}

func (h *timeHeap) up(i uint32) {
	n := *h.nodes.at(i)
	for i > 0 {
		p := (i - 1) / 4
		if !n.before(h.nodes.at(p)) {
			break
		}
		h.set(i, *h.nodes.at(p))
		i = p
	}
	h.set(i, n)
}

func (h *timeHeap) down(i uint32) {
	n := *h.nodes.at(i)
	size := uint32(h.nodes.n)
	for {
		first := 4*i + 1
		if first >= size {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, size); c++ {
			if h.nodes.at(c).before(h.nodes.at(least)) {
				least = c
			}
		}
		if !h.nodes.at(least).before(&n) {
			break
		}
		h.set(i, *h.nodes.at(least))
		i = least
	}
	h.set(i, n)
}
