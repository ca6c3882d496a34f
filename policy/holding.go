package policy

import "time"

// ask probes the first workers of the job's range, for 0.6 points of the worth at most.
func (d *Dispatcher) ask(j *job) {
	left := int(0.006 / max(d.cfg.PriceProbe, 0.001))
	for k := range 2 {
		list := d.near[j.part+k]
		for _, w := range list[:min(len(list), d.tries(), left)] {
			left--
			d.probe(j, w)
		}
	}
	if j.asked == 0 {
		d.settle(j)
	}
}

// probe asks a worker of which nothing is known that is new enough, and has the job wait; false: it need not.
func (d *Dispatcher) probe(j *job, w *worker) bool {
	if !d.stale(w) || d.dear(w) {
		return false
	}
	if w.askers = append(w.askers, j); len(w.askers) == 1 {
		w.probed, d.act = d.now, append(d.act, Action{Kind: Probe, Worker: w.ID})
	}
	if j.asked++; j.asked == 1 {
		j.until, d.asking = d.now+max(0, j.due-d.now-time.Duration(j.size))/20, append(d.asking, j)
	}
	return true
}

// pump releases held jobs, earliest deadline first, while lanes are free; a hopeless first one may move.
func (d *Dispatcher) pump(w *worker, move bool) {
	for n := len(w.held); n > 0 && len(w.held) > 0; n-- {
		j, lanes := w.held[0], d.free(w)
		k, can := min(j.slots, len(lanes)), d.allowed(j, w) && j.slots <= len(lanes)
		start := max(lanes[k-1], d.now)
		lost := !can || start+w.net+time.Duration(j.size/d.power(w, d.now)) > j.due
		if d.wake = min(d.wake, start); lost && !move || !lost && start > d.now {
			return
		}
		if w.held, j.on = w.held[1:], nil; lost || d.stale(w) && (j.rounds < d.rounds(j) || d.age(w) > 1) {
			d.settle(j)
		} else {
			d.send(j, w)
		}
	}
}

// stuck is when a repeatable attempt is better made elsewhere: half its slack has gone, or it doesn't move.
func (d *Dispatcher) stuck(a *attempt) time.Duration {
	switch c := &d.cfg.Classes[a.job.class]; {
	case a.job.closed || !d.cfg.Cancel || !d.cfg.TellsStart || c.Effect != Repeatable: // never
	case a.began == 0:
		spare := a.job.due - a.sent - time.Duration(a.job.size/a.w.speed)
		return max(a.sent+max(a.w.net+100*time.Millisecond, spare/2), a.moved)
	case d.cfg.Progress > 0:
		return max(a.heard+5*d.cfg.Progress/2, a.moved)
	}
	return never
}

// moves tells whether another worker would take an attempt's job now; if not, it is asked again later.
func (d *Dispatcher) moves(a *attempt) bool {
	a.moved, d.wake = d.now+1e8, min(d.wake, d.now+1e8)
	a.job.out--
	found := d.pick(a.job, a.w)
	if a.job.out++; found == nil || d.probe(a.job, found) { // not for a guess
		return false
	}
	a.job.left = a.w
	return true
}
