package waiting

import (
	"math"
	"slices"
	"time"
)

// AddQuery answers a query: at once, when the job ends, or when the query times out.
func (q *Queue) AddQuery(now time.Duration, query *Query) {
	if query.Name == "" {
		q.list(now, query)
		return
	}
	i := q.byName[query.Name]
	if i == 0 {
		q.emit(Action{Kind: Reply, Query: query.Number, Status: StatusUnknown})
		return
	}
	e := q.entries.at(i)
	status := StatusServed
	switch {
	case query.Cancel && e.state == Cancelled: // cancelling twice is not an error
	case query.Cancel && (e.state.Final() || e.has(fresh|mayHaveRun) || e.sendsOut > 0):
		status = StatusConflict
	case query.Cancel:
		if e.state == Released {
			q.emit(Action{Kind: Withdraw, Job: Job{Number: e.number}})
		}
		q.finish(now, i, Cancelled, StatusCancelled, "cancelled", true)
	case !e.state.Final() && query.Deadline > now && len(q.queries) < maxQueries && !q.closing:
		q.queries[query.Number] = &pendingQuery{i, query.Deadline}
		q.queriesByEntry[i] = append(q.queriesByEntry[i], query.Number)
		if len(q.queries) == 1 || query.Deadline < q.nextQueryTimeout {
			q.nextQueryTimeout = query.Deadline
		}
		return
	}
	q.emit(Action{Kind: Reply, Query: query.Number, Status: status, Info: q.info(now, i)})
}

// RemoveQuery removes a query whose caller has left.
func (q *Queue) RemoveQuery(number uint64) {
	if w := q.queries[number]; w != nil {
		q.removeQuery(number, w)
	}
}

func (q *Queue) removeQuery(number uint64, w *pendingQuery) {
	delete(q.queries, number)
	list := q.queriesByEntry[w.entry]
	for k, n := range list {
		if n == number {
			list = append(list[:k], list[k+1:]...)
			break
		}
	}
	if q.queriesByEntry[w.entry] = list; len(list) == 0 {
		delete(q.queriesByEntry, w.entry)
	}
}

// answerOverdueQueries answers the queries that have timed out with the present state.
func (q *Queue) answerOverdueQueries(now time.Duration) {
	if len(q.queries) == 0 || now < q.nextQueryTimeout {
		return
	}
	q.nextQueryTimeout = math.MaxInt64
	var over []uint64
	for n, w := range q.queries {
		if w.deadline <= now {
			over = append(over, n)
		} else {
			q.nextQueryTimeout = min(q.nextQueryTimeout, w.deadline)
		}
	}
	for _, n := range sorted(over) {
		w := q.queries[n]
		q.removeQuery(n, w)
		q.emit(Action{Kind: Reply, Query: n, Status: StatusServed, Info: q.info(now, w.entry)})
	}
}

// list replies with up to query.Most jobs that asked to wait, in the order of their entries.
func (q *Queue) list(now time.Duration, query *Query) {
	i := uint32(0)
	if query.StartAfter != "" {
		if i = q.byName[query.StartAfter]; i == 0 {
			q.emit(Action{Kind: Reply, Query: query.Number, Status: StatusUnknown})
			return
		}
	}
	var list []Info
	for i++; int(i) < q.entries.len() && len(list) < query.MaxJobs; i++ {
		if e := q.entries.at(i); e.has(indexed) && !e.has(fresh) {
			info := q.info(now, i)
			info.Result = ""
			list = append(list, *info)
		}
	}
	q.emit(Action{Kind: Reply, Query: query.Number, Status: StatusServed, List: &JobList{list, q.Stats()}})
}

// info describes the present state of a job.
func (q *Queue) info(now time.Duration, i uint32) *Info {
	e := q.entries.at(i)
	n := &Info{Name: e.name, State: e.state, Due: e.due(), Attempts: int(e.attempts), Status: int(e.status),
		Result: e.result, ResultShed: e.has(resultShed)}
	if int(e.class) < len(q.fleet.Classes) {
		n.Class = q.fleet.Classes[e.class].Name
	}
	switch {
	case e.state.Final() || e.sendsOut > 0:
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
