package loop

import (
	"unique"

	"gaugeslip/internal/net/upstream"
)

// parked is what is kept of a ticket while its job waits without a connection: there may be a million of them, and most
// have their heads in common.
type parked struct {
	uri, id string
	key     string // Idempotency-Key
	head    unique.Handle[head]
	body    []byte
}

// head is the part of a request that many have alike.
type head struct {
	method, host string
	once         bool
}

func park(t *Ticket) *parked {
	q := &t.Forward
	return &parked{uri: q.URI, id: q.TraceID, key: q.IdempotencyKey, head: unique.Make(head{q.Method, q.Host, q.Once}), body: q.Body}
}

// ticket is a ticket again, one whose client had its answer with the promise.
func (p *parked) ticket() *Ticket {
	h := p.head.Value()
	t := &Ticket{Forward: upstream.Request{Method: h.method, Host: h.host, Once: h.once, URI: p.uri, TraceID: p.id,
		IdempotencyKey: p.key,
		Body:           p.body}}
	t.done.Store(true)
	return t
}
