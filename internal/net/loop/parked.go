package loop

import (
	"unique"

	"gaugeslip/internal/net/upstream"
)

// detachedJob is the compact form of a ticket while its job waits without a connection. There may be a million of
// them, and most have the same head.
type detachedJob struct {
	uri, traceID   string
	idempotencyKey string // Idempotency-Key
	head           unique.Handle[sharedHead]
	body           []byte
}

// sharedHead is the part of a request that is the same for many requests.
type sharedHead struct {
	method, host  string
	nonRepeatable bool
}

func newDetachedJob(t *Ticket) *detachedJob {
	q := &t.Forward
	return &detachedJob{uri: q.URI, traceID: q.TraceID, idempotencyKey: q.IdempotencyKey, head: unique.Make(sharedHead{q.Method, q.Host, q.NonRepeatable}), body: q.Body}
}

// newTicket makes a ticket again, marked as answered: its client already got the 202.
func (p *detachedJob) newTicket() *Ticket {
	h := p.head.Value()
	t := &Ticket{Forward: upstream.Request{Method: h.method, Host: h.host, NonRepeatable: h.nonRepeatable, URI: p.uri, TraceID: p.traceID,
		IdempotencyKey: p.idempotencyKey,
		Body:           p.body}}
	t.done.Store(true)
	return t
}
