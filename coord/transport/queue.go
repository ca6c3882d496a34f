package transport

// queue is a bounded queue that drops its oldest messages when it is full.
type queue[M any] struct {
	bound int
	items []M
	head  int
}

func (q *queue[M]) len() int {
	return len(q.items) - q.head
}

// push adds a message and reports whether it dropped the oldest one to make room.
func (q *queue[M]) push(message M) (dropped bool) {
	if q.len() >= q.bound {
		q.advance(1)
		dropped = true
	}
	q.items = append(q.items, message)
	return dropped
}

// take removes the oldest messages, at most limit of them, and appends them to the slice.
func (q *queue[M]) take(into []M, limit int) []M {
	count := min(q.len(), limit)
	into = append(into, q.items[q.head:q.head+count]...)
	q.advance(count)
	return into
}

// clear drops all messages and returns how many there were.
func (q *queue[M]) clear() int {
	count := q.len()
	q.advance(count)
	return count
}

// advance drops the oldest messages. It compacts the slice once at least half of it is unused.
func (q *queue[M]) advance(count int) {
	clear(q.items[q.head : q.head+count])
	q.head += count
	if 2*q.head < len(q.items) {
		return
	}
	kept := copy(q.items, q.items[q.head:])
	clear(q.items[kept:])
	q.items = q.items[:kept]
	q.head = 0
}
