package scheduler

import (
	"cmp"
	"container/heap"
	"time"

	"gaugeslip/internal/system/state"
)

// timer is a function to be called at a time.
type timer struct {
	at   time.Duration
	fire func()
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(added any)    { *h = append(*h, added.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return popped
}

// timerQueue holds timers, earliest first.
type timerQueue struct{ heap timerHeap }

func (q *timerQueue) first() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// runAt calls fire at a time. Timers are never cancelled, so fire has to check whether it still applies.
func (s *Scheduler) runAt(at time.Duration, fire func()) {
	heap.Push(&s.timers.heap, timer{at: at, fire: fire})
}

func (s *Scheduler) fireTimers() {
	for {
		at, ok := s.timers.first()
		if !ok || at > s.now {
			return
		}
		heap.Pop(&s.timers.heap).(timer).fire()
	}
}

// dueOccurrence is the next occurrence of a timed job.
type dueOccurrence struct {
	unixMs int64
	job    state.JobID
}

type dueHeap []dueOccurrence

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].unixMs, h[j].unixMs), cmp.Compare(h[i].job, h[j].job)) < 0
}
func (h dueHeap) Swap(i, j int)   { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(added any) { *h = append(*h, added.(dueOccurrence)) }
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// occurrenceQueue holds one entry for each timed job with occurrences left.
type occurrenceQueue struct{ heap dueHeap }

func (q *occurrenceQueue) first() (unixMs int64, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].unixMs, true
}

// openDueOccurrences opens the occurrences that have fallen due by the trusted wall-clock time.
func (s *Scheduler) openDueOccurrences() {
	for s.wall.known && len(s.occurrenceQueue.heap) > 0 {
		next := s.occurrenceQueue.heap[0]
		if s.wall.toSteady(next.unixMs) > s.now {
			return
		}
		heap.Pop(&s.occurrenceQueue.heap)
		if j := s.jobs[next.job]; j != nil {
			s.openNextOccurrence(j)
		}
	}
}

// queueNextOccurrence queues the next occurrence of a timed job.
func (s *Scheduler) queueNextOccurrence(j *job) {
	if j.nextOccurrence < j.record.OccurrenceCount() {
		heap.Push(&s.occurrenceQueue.heap, dueOccurrence{unixMs: j.record.DueMs(j.nextOccurrence), job: j.record.ID})
	}
}
