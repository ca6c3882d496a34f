package waiting

import (
	"time"
)

// makeReady makes a job ready, since all that it waited for has happened.
func (r *Queue) makeReady(now time.Duration, i uint32) {
	e := r.all.at(i)
	e.state, e.ready = Ready, now
	r.note(now, e, Record{Kind: IsReady})
	r.ready.push(i, now+e.due())
	r.arm(i)
	r.pace.stale = true
}

// armDeadline sets the time by which a job must be answered that is ready, or in its turn and not sent.
func (r *Queue) arm(i uint32) {
	e := r.all.at(i)
	at := e.ready + longWait*e.due()
	if e.deadline > 0 && e.is(attached) {
		at = min(at, e.deadline-lastCall)
	}
	r.ends.remove(i)
	r.ends.push(i, at)
}

// Tick advances the time: it handles what has become due and releases jobs. It handles a bounded number of entries;
// Wake returns when to call it again.
func (r *Queue) Tick(now time.Duration) {
	work := tickWork
	r.forget(now, &work)
	for ; work > 0; work-- {
		i, ok := r.ends.due(now)
		if !ok {
			break
		}
		r.tooLate(now, i)
	}
	for ; work > 0; work-- {
		i, ok := r.timers.due(now)
		if !ok {
			break
		}
		r.timers.remove(i)
		if r.all.at(i).preds == 0 {
			r.makeReady(now, i)
		}
	}
	for ; work > 0; work-- {
		i, ok := r.again.due(now)
		if !ok {
			break
		}
		r.again.remove(i)
		r.ready.push(i, r.all.at(i).ready+r.all.at(i).due())
	}
	r.tell(now, &work)
	r.overdueAsks(now)
	r.more = work <= 0
	r.release(now)
}

// expire answers a job that has waited as long as it may.
func (r *Queue) tooLate(now time.Duration, i uint32) {
	e := r.all.at(i)
	if e.state == Released {
		r.do(Action{Kind: Withdraw, Job: Job{Number: e.number}})
	}
	if e.is(maybe) && !r.repeatable(e) {
		r.finish(now, i, Failed, StatusFailed, "failed", true)
		return
	}
	r.finish(now, i, Refused, StatusRefused, "no room came in the time that it could wait", true)
}

func (r *Queue) repeatable(e *entry) bool {
	return int(e.class) < len(r.fleet.Classes) && r.fleet.Classes[e.class].Repeatable
}

// notifyDependants notifies the dependants of ended jobs. It works through a list instead of recursing, so that a chain
// of any length uses no stack and a job with many dependants does not make a Tick long.
func (r *Queue) tell(now time.Duration, work *int) {
	for *work > 0 && len(r.ended) > 0 {
		p := r.ended[len(r.ended)-1]
		x := r.all.at(p).edges
		*work--
		g := *r.edges.at(x)
		if r.all.at(p).edges = g.next; g.next == 0 { // remove it at once: its entry may soon hold another job
			r.ended = r.ended[:len(r.ended)-1]
		}
		*r.edges.at(x) = edge{next: r.spare}
		r.spare = x
		e := r.all.at(g.of)
		if e.number != g.number || e.state != Waiting {
			continue // it has already ended
		}
		if r.all.at(p).state != Served && !r.lim.RunOnFailure {
			r.finish(now, g.of, Failed, StatusDependency, "a job that it waited for was not served", true)
			continue
		}
		if e.preds--; e.preds == 0 && !r.timers.holds(g.of) {
			r.makeReady(now, g.of)
		}
	}
}

// Wake returns when the next Tick is due if nothing else happens.
func (r *Queue) Wake(now time.Duration) (at time.Duration, ok bool) {
	if r.more || len(r.ended) > 0 {
		return now, true
	}
	sooner := func(t time.Duration, there bool) {
		if there && (!ok || t < at) {
			at, ok = t, true
		}
	}
	sooner(r.timers.next())
	sooner(r.again.next())
	sooner(r.ends.next())
	if r.oldest != 0 {
		sooner(r.all.at(r.oldest).entered+r.lim.Retention, true)
		sooner(now, r.stats.Kept > r.lim.MaxKept)
	}
	sooner(r.asksAt, len(r.asks) > 0)
	sooner(r.nextTurn(now))
	return at, ok
}
