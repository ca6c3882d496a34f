package hollow

import (
	"container/heap"
	"time"
)

// event is an action that the world executes at a time of its clock.
type event struct {
	at        time.Duration
	sequence  uint64
	action    func()
	cancelled bool
}

// cancel keeps the event from being executed. The event may be nil.
func (event *event) cancel() {
	if event != nil {
		event.cancelled = true
	}
}

// eventQueue orders events by time, and events of the same time by the order in which they were added.
type eventQueue struct {
	heap     eventHeap
	sequence uint64
}

func (queue *eventQueue) add(at time.Duration, action func()) *event {
	queue.sequence++
	added := &event{at: at, sequence: queue.sequence, action: action}
	heap.Push(&queue.heap, added)
	return added
}

// first returns the earliest event that is not cancelled, or nil.
func (queue *eventQueue) first() *event {
	for len(queue.heap) > 0 && queue.heap[0].cancelled {
		heap.Pop(&queue.heap)
	}
	if len(queue.heap) == 0 {
		return nil
	}
	return queue.heap[0]
}

// popDue removes and returns the earliest event if it is due at now, or else returns nil.
func (queue *eventQueue) popDue(now time.Duration) *event {
	first := queue.first()
	if first == nil || first.at > now {
		return nil
	}
	heap.Pop(&queue.heap)
	return first
}

type eventHeap []*event

func (events eventHeap) Len() int { return len(events) }

func (events eventHeap) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].sequence < events[j].sequence
}

func (events eventHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events *eventHeap) Push(added any) { *events = append(*events, added.(*event)) }

func (events *eventHeap) Pop() any {
	last := len(*events) - 1
	popped := (*events)[last]
	(*events)[last] = nil
	*events = (*events)[:last]
	return popped
}
