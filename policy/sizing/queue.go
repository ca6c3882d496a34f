package sizing

import (
	"cmp"
	"iter"
	"time"

	"github.com/google/btree"
)

// queueDegree is the degree of a Queue's B-tree.
const queueDegree = 16

// Ticket identifies a value in a Queue by its deadline and its number among all values pushed.
type Ticket struct {
	Deadline time.Duration
	number   uint64
}

// Queue holds values in order of deadlines, and those of equal deadlines in the order of Push. Push, Pop and Remove take
// O(log n). Make one with NewQueue.
type Queue[T any] struct {
	tree       *btree.BTreeG[queueItem[T]]
	lastNumber uint64
}

type queueItem[T any] struct {
	ticket Ticket
	value  T
}

// NewQueue returns an empty Queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{tree: btree.NewG(queueDegree, before[T])}
}

func before[T any](a, b queueItem[T]) bool {
	order := cmp.Compare(a.ticket.Deadline, b.ticket.Deadline)
	return order < 0 || order == 0 && a.ticket.number < b.ticket.number
}

// Len returns the number of values held.
func (q *Queue[T]) Len() int { return q.tree.Len() }

// Push adds a value and returns the ticket by which Remove finds it.
func (q *Queue[T]) Push(deadline time.Duration, value T) Ticket {
	q.lastNumber++
	ticket := Ticket{Deadline: deadline, number: q.lastNumber}
	q.tree.ReplaceOrInsert(queueItem[T]{ticket, value})
	return ticket
}

// First returns the value with the earliest deadline; false if the Queue is empty.
func (q *Queue[T]) First() (Ticket, T, bool) {
	first, ok := q.tree.Min()
	return first.ticket, first.value, ok
}

// Pop removes the value with the earliest deadline and returns it; false if the Queue is empty.
func (q *Queue[T]) Pop() (Ticket, T, bool) {
	first, ok := q.tree.DeleteMin()
	return first.ticket, first.value, ok
}

// Remove removes the value of a ticket and returns it; false if the Queue no longer holds it.
func (q *Queue[T]) Remove(ticket Ticket) (T, bool) {
	removed, ok := q.tree.Delete(queueItem[T]{ticket: ticket})
	return removed.value, ok
}

// All iterates over the values, earliest deadline first. The Queue must not change meanwhile.
func (q *Queue[T]) All() iter.Seq2[Ticket, T] {
	return func(yield func(Ticket, T) bool) {
		q.tree.Ascend(func(held queueItem[T]) bool {
			return yield(held.ticket, held.value)
		})
	}
}
