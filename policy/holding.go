package policy

import "time"

// probeFirst probes the first workers of the job's range, for 0.6 points of the worth at most.
func (d *Dispatcher) probeFirst(j *job) {
	left := int(0.006 / max(d.cfg.PriceProbe, 0.001))
	for k := range 2 {
		list := d.candidates[j.firstList+k]
		for _, w := range list[:min(len(list), d.searchLimit(), left)] {
			left--
			d.probe(j, w)
		}
	}
	if j.pending == 0 {
		d.place(j)
	}
}

// probe asks a worker of which nothing is known that is new enough, and has the job wait; false: it need not.
func (d *Dispatcher) probe(j *job, w *worker) bool {
	if !d.stale(w) || d.probeLimited(w) {
		return false
	}
	if w.waiters = append(w.waiters, j); len(w.waiters) == 1 {
		w.probedAt, d.actions = d.now, append(d.actions, Action{Kind: Probe, Worker: w.ID})
	}
	if j.pending++; j.pending == 1 {
		j.probeDeadline, d.probing = d.now+max(0, j.due-d.now-time.Duration(j.size))/20, append(d.probing, j)
	}
	return true
}

// release releases held jobs, earliest deadline first, while lanes are free; a hopeless first one may move.
func (d *Dispatcher) release(w *worker, move bool) {
	for n := len(w.held); n > 0 && len(w.held) > 0; n-- {
		j, lanes := w.held[0], d.laneFreeTimes(w)
		k, can := min(j.slots, len(lanes)), d.allowed(j, w) && j.slots <= len(lanes)
		start := max(lanes[k-1], d.now)
		lost := !can || start+w.latency+time.Duration(j.size/d.speedAt(w, d.now)) > j.due
		if d.wakeAt = min(d.wakeAt, start); lost && !move || !lost && start > d.now {
			return
		}
		if w.held, j.heldFor = w.held[1:], nil; lost ||
			d.stale(w) && (j.rounds < d.maxRounds(j) || d.reportAge(w) > 1) {
			d.place(j)
		} else {
			d.send(j, w)
		}
	}
}

// moveTime is when a repeatable attempt is better moved: half its slack has gone, or it doesn't move.
func (d *Dispatcher) moveTime(a *attempt) time.Duration {
	switch c := &d.cfg.Classes[a.job.class]; {
	case a.job.closed || !d.cfg.Cancel || !d.cfg.TellsStart || c.Effect != Repeatable: // never
	case a.started == 0:
		spare := a.job.due - a.sent - time.Duration(a.job.size/a.w.speed)
		return max(a.sent+max(a.w.latency+100*time.Millisecond, spare/2), a.nextMove)
	case d.cfg.Progress > 0:
		return max(a.lastEvent+5*d.cfg.Progress/2, a.nextMove)
	}
	return never
}

// canMove tells whether another worker would take an attempt's job now; if not, it is asked again later.
func (d *Dispatcher) canMove(a *attempt) bool {
	a.nextMove, d.wakeAt = d.now+1e8, min(d.wakeAt, d.now+1e8)
	a.job.inFlight--
	found := d.pick(a.job, a.w)
	if a.job.inFlight++; found == nil || d.probe(a.job, found) { // not for a guess
		return false
	}
	a.job.movedFrom = a.w
	return true
}
