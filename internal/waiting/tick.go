package waiting

import (
	"time"
)

// makeReady makes a job ready, since all that it waited for has happened.
func (q *Queue) makeReady(now time.Duration, i uint32) {
	e := q.entries.at(i)
	e.state, e.ready = Ready, now
	q.record(now, e, Record{Kind: BecameReady})
	q.ready.push(i, now+e.due())
	q.armDeadline(i)
	q.pacer.demandStale = true
}

// armDeadline sets the time by which a job must be answered that is ready, or in its turn and not sent.
func (q *Queue) armDeadline(i uint32) {
	e := q.entries.at(i)
	at := e.ready + maxWaitFactor*e.due()
	if e.deadline > 0 && e.has(attached) {
		at = min(at, e.deadline-answerMargin)
	}
	q.deadlines.remove(i)
	q.deadlines.push(i, at)
}

// Tick advances the time: it handles what has become due and releases jobs. It handles a bounded number of entries;
// Wake returns when to call it again.
func (q *Queue) Tick(now time.Duration) {
	work := maxTickWork
	q.evictKept(now, &work)
	for ; work > 0; work-- {
		i, ok := q.deadlines.due(now)
		if !ok {
			break
		}
		q.expire(now, i)
	}
	for ; work > 0; work-- {
		i, ok := q.timers.due(now)
		if !ok {
			break
		}
		q.timers.remove(i)
		if q.entries.at(i).unmetPreds == 0 {
			q.makeReady(now, i)
		}
	}
	for ; work > 0; work-- {
		i, ok := q.backoff.due(now)
		if !ok {
			break
		}
		q.backoff.remove(i)
		q.ready.push(i, q.entries.at(i).ready+q.entries.at(i).due())
	}
	q.notifyDependants(now, &work)
	q.answerOverdueQueries(now)
	q.moreWork = work <= 0
	q.releaseReady(now)
}

// expire answers a job that has waited as long as it may.
func (q *Queue) expire(now time.Duration, i uint32) {
	e := q.entries.at(i)
	if e.state == Released {
		q.emit(Action{Kind: Withdraw, Job: Job{Number: e.number}})
	}
	if e.has(mayHaveRun) && !q.repeatable(e) {
		q.finish(now, i, Failed, StatusFailed, "failed", true)
		return
	}
	q.finish(now, i, Refused, StatusRefused, "no room came in the time that it could wait", true)
}

func (q *Queue) repeatable(e *entry) bool {
	return int(e.class) < len(q.fleet.Classes) && q.fleet.Classes[e.class].Repeatable
}

// notifyDependants notifies the dependants of ended jobs. It works through a list instead of recursing, so that a chain
// of any length uses no stack and a job with many dependants does not make a Tick long.
func (q *Queue) notifyDependants(now time.Duration, work *int) {
	for *work > 0 && len(q.unnotified) > 0 {
		p := q.unnotified[len(q.unnotified)-1]
		x := q.entries.at(p).dependants
		*work--
		g := *q.edges.at(x)
		if q.entries.at(p).dependants = g.next; g.next == 0 { // remove it at once: its entry may soon hold another job
			q.unnotified = q.unnotified[:len(q.unnotified)-1]
		}
		*q.edges.at(x) = edge{next: q.freeEdges}
		q.freeEdges = x
		e := q.entries.at(g.dependant)
		if e.number != g.number || e.state != Waiting {
			continue // it has already ended
		}
		if q.entries.at(p).state != Served && !q.limits.RunOnFailure {
			q.finish(now, g.dependant, Failed, StatusDependency, "a job that it waited for was not served", true)
			continue
		}
		if e.unmetPreds--; e.unmetPreds == 0 && !q.timers.contains(g.dependant) {
			q.makeReady(now, g.dependant)
		}
	}
}

// Wake returns when the next Tick is due if nothing else happens.
func (q *Queue) Wake(now time.Duration) (at time.Duration, ok bool) {
	if q.moreWork || len(q.unnotified) > 0 {
		return now, true
	}
	sooner := func(t time.Duration, there bool) {
		if there && (!ok || t < at) {
			at, ok = t, true
		}
	}
	sooner(q.timers.earliest())
	sooner(q.backoff.earliest())
	sooner(q.deadlines.earliest())
	if q.oldestKept != 0 {
		sooner(q.entries.at(q.oldestKept).entered+q.limits.Retention, true)
		sooner(now, q.stats.Kept > q.limits.MaxKept)
	}
	sooner(q.nextQueryTimeout, len(q.queries) > 0)
	sooner(q.nextRelease(now))
	return at, ok
}
