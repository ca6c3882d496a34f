package policy

import "time"

// probeFirst probes the first workers of the job's range, for at most 0.6% of a mean job's worth.
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

// probe has j wait for a probe of w. It returns false if w's report is recent or probes are limited.
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

// release sends held jobs by deadline while lanes are free. If move, a first job that is late is placed anew.
func (d *Dispatcher) release(w *worker, move bool) {
	for n := len(w.held); n > 0 && len(w.held) > 0; n-- {
		j, lanes := w.held[0], d.laneFreeTimes(w)
		k, fits := min(j.slots, len(lanes)), d.allowed(j, w) && j.slots <= len(lanes)
		start := max(lanes[k-1], d.now)
		hopeless := !fits || start+w.latency+time.Duration(j.size/d.speedAt(w, d.now)) > j.due
		if d.wakeAt = min(d.wakeAt, start); hopeless && !move || !hopeless && start > d.now {
			return
		}
		if w.held, j.heldFor = w.held[1:], nil; hopeless ||
			d.stale(w) && (j.rounds < d.maxRounds(j) || d.reportAge(w) > 1) {
			d.place(j)
		} else {
			d.send(j, w)
		}
	}
}

// moveTime is when to move a repeatable attempt: half its slack is gone without a start, or progress is late.
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

// canMove reports whether another worker would take a's job now. If not, it is tried again after 100 ms.
func (d *Dispatcher) canMove(a *attempt) bool {
	a.nextMove, d.wakeAt = d.now+1e8, min(d.wakeAt, d.now+1e8)
	a.job.inFlight--
	found := d.pick(a.job, a.w)
	if a.job.inFlight++; found == nil || d.probe(a.job, found) { // not without a recent report
		return false
	}
	a.job.movedFrom = a.w
	return true
}
