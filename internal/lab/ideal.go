package lab

import (
	"container/heap"
	"time"

	"gaugeslip/internal/fleet"
)

// The ideal sees all: one decision for the whole fleet, which knows each job's true size and when each lane is free, and has no
// way to go. It is what misplacement is measured against, on days without troubles.

// lane is one lane of a host.
type lane struct {
	host  *fleet.Host
	free  time.Duration
	speed float64
}

// lanes is a heap of them, by when they are free.
type lanes []lane

func (l lanes) Len() int { return len(l) }
func (l lanes) Less(i, j int) bool {
	return l[i].free < l[j].free || l[i].free == l[j].free && l[i].speed > l[j].speed
}
func (l lanes) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push is container/heap's.
func (l *lanes) Push(x any) { *l = append(*l, x.(lane)) }

// Pop is container/heap's.
func (l *lanes) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

// NewIdeal prepares a run without dispatchers: a job goes to the lane that is free first, if it ends in time there, and else is
// refused.
func NewIdeal(sc *Scenario, seed uint64) (*Lab, error) {
	l, err := New(sc, seed, false)
	if err != nil {
		return nil, err
	}
	for _, h := range l.hosts {
		for range h.Lanes {
			l.ideal = append(l.ideal, lane{h, epoch, h.Speed})
		}
	}
	heap.Init((*lanes)(&l.ideal))
	return l, nil
}

// assign decides about one job.
func (l *Lab) assign(o *order) {
	first := l.ideal[0]
	run := time.Duration(float64(o.size) / first.speed)
	end := max(first.free, l.now) + run
	if end > l.due(o) {
		l.rep.Refused++
		l.again(o, 0, true)
		return
	}
	l.ideal[0].free = end
	heap.Fix((*lanes)(&l.ideal), 0)
	o.over = true
	l.cls[o.class].served++
	l.cls[o.class].inTime += o.worth
	l.rep.Served++
	l.rep.InTime++
	l.rep.latency(o.class, end-o.first)
	l.second(o).inTime += o.worth
}
