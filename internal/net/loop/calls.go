package loop

import (
	"context"
	"errors"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/cluster"
)

// SetCordon cordons a host (out) or uncordons it. known reports whether a host of that name is listed or cordoned; if not,
// nothing changes. When it returns with known set, the core has processed the change. It returns an error if ctx or
// the loop has ended first; the change may still take effect.
func (l *Loop) SetCordon(ctx context.Context, name string, out bool) (known bool, err error) {
	m := dispatch.SetCordon{Request: l.nextCordon.Add(1), Name: name, Cordoned: out}
	cordonReply := make(chan bool, 1)
	select {
	case l.urgent <- envelope{msg: m, cordonReply: cordonReply}:
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.stopped:
		return false, ErrStopped
	}
	select {
	case known = <-cordonReply:
		return known, nil
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.stopped:
		return false, ErrStopped
	}
}

// ReplaceCordons replaces the set of cordoned hosts with the given one, which is stored outside the process.
func (l *Loop) ReplaceCordons(names []string) {
	select {
	case l.urgent <- envelope{msg: dispatch.CordonSet{Names: names}}:
	case <-l.stopped:
	}
}

// ErrStopped reports that the loop has ended.
var ErrStopped = errors.New("loop: stopped")

// Held returns the number of downstream requests that have been submitted and not yet released.
func (l *Loop) Held() int64 { return l.openRequests.Load() }

// countTimeout is how long Workers waits for the loop.
const countTimeout = 250 * time.Millisecond

// Workers returns the number of listed hosts and how many of them are excluded, by an operator or by the core.
// Counting visits every host, so it happens on request and not at each Step. If the loop does not answer in time,
// Workers returns the last count.
func (l *Loop) Workers() (known, excluded int64) {
	counted, late := make(chan struct{}), time.After(countTimeout)
	select {
	case l.urgent <- envelope{count: counted}:
		select {
		case <-counted:
		case <-late:
		case <-l.stopped:
		}
	case <-late:
	case <-l.stopped:
	}
	return l.knownHosts.Load(), l.excludedHosts.Load()
}

// SetSource replaces the source of the host list. The watch on the new source starts at once, after the newest known
// version, even if the core is waiting before it asks again.
func (l *Loop) SetSource(source cluster.Source) { l.post(envelope{source: source}) }

// ErrFull reports that the dispatcher holds as many requests as it may.
var ErrFull = errors.New("loop: as many requests are held as may be")

// ErrDuplicateID reports that another request with the same id is open or may still have upstream requests.
var ErrDuplicateID = errors.New("loop: a request with this id is already open")

// Submit submits a downstream request. Its answer arrives on t.Answer. The caller must call Release when the request
// is over.
func (l *Loop) Submit(t *Ticket) error {
	if n := l.openRequests.Add(1); l.set.MostHeld > 0 && n > int64(l.set.MostHeld) {
		l.openRequests.Add(-1)
		return ErrFull
	}
	if err := l.claim(t); err != nil {
		l.openRequests.Add(-1)
		return err
	}
	t.answer = make(chan Answer, 1)
	t.Job.Job, t.Job.At = l.nextJob.Add(1), l.clock.Since(t.Arrived)
	t.Job.Name, t.Job.Bytes = t.Forward.TraceID, len(t.Forward.Body)
	l.post(envelope{msg: t.Job, ticket: t})
	return nil
}

// claim ensures that no other open request has the ticket's id. The waiting queue tracks the ids of waiting jobs
// itself, for as long as it knows them; here they would fill the table.
func (l *Loop) claim(t *Ticket) error {
	if t.Job.Wait == nil {
		return l.ids.claim(t.Forward.TraceID, t.Arrived, t.Job.Budget)
	}
	if l.ids.taken(t.Forward.TraceID, t.Arrived) {
		return ErrDuplicateID
	}
	return nil
}

// Release reports that the downstream side has finished with a submitted request. left: the client disconnected
// before it had its answer.
func (l *Loop) Release(t *Ticket, left bool) {
	l.openRequests.Add(-1)
	if left {
		l.Post(dispatch.ClientGone{Job: t.Job.Job})
	}
}

// QueryJobs sends a query about waiting jobs. A query that waits ends at its Deadline, on the loop's clock. It returns
// false if ctx or the loop has ended.
func (l *Loop) QueryJobs(ctx context.Context, q dispatch.JobQuery) (dispatch.QueryResult, bool) {
	q.Number = l.nextQuery.Add(1)
	reply := make(chan dispatch.QueryResult, 1)
	l.post(envelope{msg: q, queryReply: reply})
	select {
	case t := <-reply:
		return t, true
	case <-ctx.Done():
		l.Post(dispatch.QueryCancelled{Query: q.Number})
	case <-l.stopped:
	}
	return dispatch.QueryResult{}, false
}

// Idle waits until no job without a connection is pending in the core or at a host, or until ctx ends.
func (l *Loop) Idle(ctx context.Context) {
	idle := make(chan struct{})
	l.post(envelope{idle: idle})
	select {
	case <-idle:
	case <-ctx.Done():
	case <-l.stopped:
	}
}
