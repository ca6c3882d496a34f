package loop

import (
	"context"
	"errors"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/cluster"
)

// Hand takes a host out by hand, or puts it back. Known: a host of that name is listed or out by hand; else nothing
// is changed. Once it returns with known, the module has heard of it. False and an error: ctx or the loop has ended
// first, and the change may yet be made.
func (l *Loop) Hand(ctx context.Context, name string, out bool) (known bool, err error) {
	m := dispatch.SetCordon{Request: l.nextCordon.Add(1), Name: name, Cordoned: out}
	handed := make(chan bool, 1)
	select {
	case l.urgent <- envelope{msg: m, cordonReply: handed}:
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.stopped:
		return false, ErrStopped
	}
	select {
	case known = <-handed:
		return known, nil
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.stopped:
		return false, ErrStopped
	}
}

// HandSet makes the set of hosts out by hand the one given, as it is kept outside the process.
func (l *Loop) HandSet(names []string) {
	select {
	case l.urgent <- envelope{msg: dispatch.CordonSet{Names: names}}:
	case <-l.stopped:
	}
}

// ErrStopped says that the loop has ended.
var ErrStopped = errors.New("loop: stopped")

// Held is how many downstream requests have been submitted and not yet released.
func (l *Loop) Held() int64 { return l.openRequests.Load() }

// countTimeout is how long Workers waits for the loop.
const countTimeout = 250 * time.Millisecond

// Workers counts the listed hosts and those of them that are kept away from, by hand or by the module. Counting looks
// at every host, so it is done when somebody asks and not at each Step; where the loop does not come to it in time, it
// is the last count.
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

// Move puts another source of the list in the old one's place. A watch on it begins at once, after the newest
// version that is known, whether the module waits to ask or not.
func (l *Loop) Move(source cluster.Source) { l.post(envelope{source: source}) }

// ErrFull says that the dispatcher holds as many requests as it may.
var ErrFull = errors.New("loop: as many requests are held as may be")

// ErrOpen says that a request's id is that of one which is open, or whose upstream requests may still be.
var ErrOpen = errors.New("loop: a request with this id is already open")

// Submit hands in a downstream request. Its answer comes on t.Answer; when the request is over Release must be
// called.
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

// claim sees to it that no other request has a ticket's id. The ids of jobs that wait the waiting room keeps, for as long
// as it knows them: here they would fill the table.
func (l *Loop) claim(t *Ticket) error {
	if t.Job.Wait == nil {
		return l.ids.claim(t.Forward.TraceID, t.Arrived, t.Job.Budget)
	}
	if l.ids.taken(t.Forward.TraceID, t.Arrived) {
		return ErrOpen
	}
	return nil
}

// Release tells that a submitted request is over for the downstream side; with left, the client went
// before it had its answer.
func (l *Loop) Release(t *Ticket, left bool) {
	l.openRequests.Add(-1)
	if left {
		l.Post(dispatch.ClientGone{Job: t.Job.Job})
	}
}

// Ask asks about waiting jobs. What q waits for is over at its Until, on the loop's clock. False: ctx has ended, or the
// loop has.
func (l *Loop) Ask(ctx context.Context, q dispatch.JobQuery) (dispatch.QueryResult, bool) {
	q.Number = l.nextQuery.Add(1)
	told := make(chan dispatch.QueryResult, 1)
	l.post(envelope{msg: q, queryReply: told})
	select {
	case t := <-told:
		return t, true
	case <-ctx.Done():
		l.Post(dispatch.QueryCancelled{Query: q.Number})
	case <-l.stopped:
	}
	return dispatch.QueryResult{}, false
}

// Idle waits until no job that lives on without its connection is before the module or at a host, or until ctx ends.
func (l *Loop) Idle(ctx context.Context) {
	idle := make(chan struct{})
	l.post(envelope{idle: idle})
	select {
	case <-idle:
	case <-ctx.Done():
	case <-l.stopped:
	}
}
