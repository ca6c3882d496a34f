package transport

// queue keeps the newest messages, up to a bound.
type queue[M any] struct {
	bound int
	items []M
	head  int
}

func (q *queue[M]) len() int {
	return len(q.items) - q.head
}

// push adds a message; it tells whether the oldest had to go for it.
func (q *queue[M]) push(message M) (dropped bool) {
	if q.len() >= q.bound {
		q.advance(1)
		dropped = true
	}
	q.items = append(q.items, message)
	return dropped
}

// take moves the oldest messages, up to a number of them, to the end of the slice.
func (q *queue[M]) take(into []M, limit int) []M {
	count := min(q.len(), limit)
	into = append(into, q.items[q.head:q.head+count]...)
	q.advance(count)
	return into
}

func (q *queue[M]) clear() int {
	count := q.len()
	q.advance(count)
	return count
}

// advance drops the oldest messages and reuses their room once it is half of all.
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
