package waiting

import (
	"math"
	"slices"
	"time"
)

// AddQuery answers a query: at once, when the job ends, or when the query times out.
func (r *Queue) AddQuery(now time.Duration, q *Query) {
	if q.Name == "" {
		r.list(now, q)
		return
	}
	i := r.names[q.Name]
	if i == 0 {
		r.do(Action{Kind: Reply, Query: q.Number, Status: StatusUnknown})
		return
	}
	e := r.all.at(i)
	status := StatusServed
	switch {
	case q.Cancel && e.state == Cancelled: // cancelling twice is not an error
	case q.Cancel && (e.state.Final() || e.is(fresh|maybe) || e.out > 0):
		status = StatusConflict
	case q.Cancel:
		if e.state == Released {
			r.do(Action{Kind: Withdraw, Job: Job{Number: e.number}})
		}
		r.finish(now, i, Cancelled, StatusCancelled, "cancelled", true)
	case !e.state.Final() && q.Deadline > now && len(r.asks) < maxAsks && !r.closing:
		r.asks[q.Number] = &waiter{i, q.Deadline}
		r.askers[i] = append(r.askers[i], q.Number)
		if len(r.asks) == 1 || q.Deadline < r.asksAt {
			r.asksAt = q.Deadline
		}
		return
	}
	r.do(Action{Kind: Reply, Query: q.Number, Status: status, Info: r.info(now, i)})
}

// RemoveQuery removes a query whose caller has left.
func (r *Queue) RemoveQuery(number uint64) {
	if w := r.asks[number]; w != nil {
		r.unask(number, w)
	}
}

func (r *Queue) unask(number uint64, w *waiter) {
	delete(r.asks, number)
	list := r.askers[w.of]
	for k, n := range list {
		if n == number {
			list = append(list[:k], list[k+1:]...)
			break
		}
	}
	if r.askers[w.of] = list; len(list) == 0 {
		delete(r.askers, w.of)
	}
}

// answerOverdueQueries answers the queries that have timed out with the present state.
func (r *Queue) overdueAsks(now time.Duration) {
	if len(r.asks) == 0 || now < r.asksAt {
		return
	}
	r.asksAt = math.MaxInt64
	var over []uint64
	for n, w := range r.asks {
		if w.until <= now {
			over = append(over, n)
		} else {
			r.asksAt = min(r.asksAt, w.until)
		}
	}
	for _, n := range sorted(over) {
		w := r.asks[n]
		r.unask(n, w)
		r.do(Action{Kind: Reply, Query: n, Status: StatusServed, Info: r.info(now, w.of)})
	}
}

// list replies with up to query.Most jobs that asked to wait, in the order of their entries.
func (r *Queue) list(now time.Duration, q *Query) {
	i := uint32(0)
	if q.StartAfter != "" {
		if i = r.names[q.StartAfter]; i == 0 {
			r.do(Action{Kind: Reply, Query: q.Number, Status: StatusUnknown})
			return
		}
	}
	var list []Info
	for i++; int(i) < r.all.len() && len(list) < q.MaxJobs; i++ {
		if e := r.all.at(i); e.is(indexed) && !e.is(fresh) {
			info := r.info(now, i)
			info.Result = ""
			list = append(list, *info)
		}
	}
	r.do(Action{Kind: Reply, Query: q.Number, Status: StatusServed, List: &JobList{list, r.Stats()}})
}

// info describes the present state of a job.
func (r *Queue) info(now time.Duration, i uint32) *Info {
	e := r.all.at(i)
	n := &Info{Name: e.name, State: e.state, Due: e.due(), Attempts: int(e.attempts), Status: int(e.status),
		Result: e.result, ResultShed: e.is(shed)}
	if int(e.class) < len(r.fleet.Classes) {
		n.Class = r.fleet.Classes[e.class].Name
	}
	switch {
	case e.state.Final() || e.out > 0:
		n.Waited = max(0, e.sent-e.ready)
	case e.state != Waiting:
		n.Waited = now - e.ready
	}
	return n
}

func sorted(n []uint64) []uint64 {
	slices.Sort(n)
	return n
}
