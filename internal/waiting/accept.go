package waiting

import (
	"slices"
	"time"
)

// AddFresh adds a job that does not wait. If it returns false, the job has been answered and must not be passed on.
func (q *Queue) AddFresh(now time.Duration, j *Job) bool {
	if q.byName[j.Name] != 0 {
		q.refuse(j, StatusConflict, "the id is already used", 0)
		return false
	}
	if j.Class < len(q.longestBudget) {
		q.longestBudget[j.Class] = max(q.longestBudget[j.Class], min(j.Deadline-j.Arrived, q.fleet.Classes[j.Class].Deadline))
	}
	i := q.add(j, fresh|attached)
	e := q.entries.at(i)
	e.state, e.entered, e.ready = Released, now, now
	e.flags |= unsent
	if q.limits.RememberFresh {
		e.flags |= indexed
		q.byName[e.name] = i
	}
	q.stats.Fresh++
	return true
}

func (q *Queue) add(j *Job, flags uint16) uint32 {
	i := q.allocEntry()
	e := q.entries.at(i)
	*e = entry{name: j.Name, number: j.Number, arrived: j.Arrived, deadline: j.Deadline, size: j.Size,
		class: int16(j.Class), tenant: int16(j.Tenant), slots: int16(j.Slots), bodyBytes: uint32(j.Bytes), flags: flags}
	q.active[j.Number] = i
	return i
}

func (q *Queue) refuse(j *Job, status int, why string, after time.Duration) {
	q.emit(Action{Kind: Answer, Job: Job{Number: j.Number}, Status: status, Reason: why, RetryAfter: after})
}

// Submit adds a job that asks to wait. The job is either answered at once or held; a detached job that is held is also
// accepted.
//
// A job can wait only for jobs that are known when it arrives, and becomes known itself only afterwards. Predecessors
// are always older, so there can be no cycle.
func (q *Queue) Submit(now time.Duration, j *Job) {
	q.stats.Submitted++
	if q.byName[j.Name] != 0 {
		q.refuse(j, StatusConflict, "the id is already used", 0)
		return
	}
	due := j.Due
	if due == 0 {
		due = q.limits.DefaultDue
	}
	switch {
	case due > q.limits.MaxDue:
		q.refuse(j, 400, "X-Due-Ms: more than max_due allows", 0)
		return
	case j.NotBefore-j.Arrived > q.limits.MaxDelay: // measured from the arrival, so that late processing makes no difference
		q.refuse(j, 400, "X-Not-Before-Ms: more than max_delay allows", 0)
		return
	case len(j.After) > maxPredecessors:
		q.refuse(j, 400, "X-After: more than 16 ids", 0)
		return
	case q.closing:
		q.refuse(j, StatusFull, "stopping", time.Second)
		return
	case j.Attached && max(j.NotBefore, now) >= j.Deadline-answerMargin:
		q.refuse(j, StatusRefused, "the wait does not fit into the time that is left", 0)
		return
	}
	unmet, met := [maxPredecessors]uint32{}, true
	n := 0
	for _, name := range j.After {
		p := q.byName[name]
		switch {
		case p == 0:
			q.refuse(j, StatusConflict, "X-After: unknown id "+name, 0)
			return
		case q.entries.at(p).state == Served || q.entries.at(p).state.Final() && q.limits.RunOnFailure:
		case q.entries.at(p).state.Final():
			met = false
		case !slices.Contains(unmet[:n], p):
			unmet[n] = p
			n++
		}
	}
	if why := q.exceededLimit(j); why != "" {
		q.stats.Full++
		q.refuse(j, StatusFull, why, q.retryAfter(now))
		return
	}
	flags := indexed
	if j.Attached {
		flags |= attached
	}
	i := q.add(j, flags)
	e := q.entries.at(i)
	e.ready, e.dueMS = j.NotBefore, uint32((due+time.Millisecond-1)/time.Millisecond)
	q.byName[e.name] = i
	q.held++
	q.countForClient(e, j.Client)
	q.bodyBytes += int64(e.bodyBytes)
	if !met {
		q.finish(now, i, Failed, StatusDependency, "a job that it waits for was not served", true)
		return
	}
	if !j.Attached {
		e.flags |= accepted
		if q.records != nil {
			kept := *j
			kept.Due, kept.After = e.due(), nil
			for _, p := range unmet[:n] {
				kept.After = append(kept.After, q.entries.at(p).name)
			}
			q.record(now, e, Record{Kind: JobAccepted, Job: kept})
		}
		q.emit(Action{Kind: Accept, Job: Job{Number: j.Number}})
	} else {
		q.deadlines.push(i, e.deadline-answerMargin)
	}
	for _, p := range unmet[:n] {
		q.entries.at(p).dependants = q.addEdge(i, e.number, q.entries.at(p).dependants)
	}
	e.unmetPreds = uint8(n)
	if e.ready > now {
		q.timers.push(i, e.ready)
	} else if n == 0 {
		q.makeReady(now, i)
	}
}

// clientJobs counts the held jobs of one client.
type clientJobs struct {
	name string
	jobs int
}

// countForClient adds a job to the count of its client.
func (q *Queue) countForClient(e *entry, client string) {
	s := q.byClient[client]
	if s == nil {
		s = &clientJobs{name: client}
		q.byClient[client] = s
	}
	s.jobs++
	e.clientJobs = s
}

// addEdge creates an edge and returns its index.
func (q *Queue) addEdge(of uint32, number uint64, next uint32) uint32 {
	x := edge{of, number, next}
	if i := q.freeEdges; i != 0 {
		q.freeEdges = q.edges.at(i).next
		*q.edges.at(i) = x
		return i
	}
	return q.edges.push(x)
}

// exceededLimit names the limit that a job would exceed; "": none.
func (q *Queue) exceededLimit(j *Job) string {
	switch {
	case q.held >= q.limits.MaxJobs:
		return "as many jobs wait as may"
	case q.bodyBytes+int64(j.Bytes) > q.limits.MaxBytes:
		return "the bodies of waiting jobs take all the room there is"
	case q.byClient[j.Client] != nil && q.byClient[j.Client].jobs >= max(1, int(q.limits.ClientShare*float64(q.limits.MaxJobs))):
		return "this client has as many waiting jobs as it may"
	}
	return ""
}

// retryAfter estimates when a rejected client can find free space: after the earliest possible end of a held job, plus
// the mean interval between freed places for each client that was already told to retry. Each client is thereby
// directed to a place of its own.
func (q *Queue) retryAfter(now time.Duration) time.Duration {
	gap := max(q.meanFreeInterval, time.Millisecond)
	first := gap
	if at, ok := q.timers.earliest(); ok && q.pacer.turns+q.ready.len()+q.backoff.len() == 0 {
		first = max(at-now, gap)
	}
	q.advisedClients++
	return min(max(first+time.Duration(q.advisedClients)*gap, time.Second), time.Hour).Round(time.Millisecond)
}
