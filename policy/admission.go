package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// place probes the worker that pick finds, or holds the job for it. Without a worker it answers the job.
func (d *Dispatcher) place(j *job) {
	found := d.pick(j, j.movedFrom)
	if found == nil && j.movedFrom != nil {
		found = d.pick(j, nil)
	}
	if found == nil {
		d.finish(j)
		return
	}
	// No send without a report: such sends of 80 schedulers waited 6 s while other workers had idle lanes.
	if j.rounds++; j.rounds <= d.maxRounds(j) && d.probe(j, found) {
		return
	}
	if !found.active {
		found.active, d.active = true, append(d.active, found)
	}
	at, _ := slices.BinarySearchFunc(found.held, j.due+1, byDue)
	found.held, j.heldFor = slices.Insert(found.held, at, j), found
	d.release(found, false)
}

// pick returns the first worker worth goodEnough, else the best, or nil, skipping exclude. Worth is the
// chance to end in time, less 1% a second as long runs are lost more often, and halved if the job must wait.
func (d *Dispatcher) pick(j *job, exclude *worker) (found *worker) {
	best := 0.0
	for k := 0; k < len(d.candidates) && best < goodEnough*j.value && j.due > d.now; k++ {
		left := max(1, d.searchLimit()-k%2)
		for _, w := range d.candidates[(j.firstList+k)%len(d.candidates)] {
			late := len(w.waiters) > 0 && d.now-w.probedAt > 10*w.latency+20*time.Millisecond
			if w == exclude || late || d.now < w.muteUntil || d.stale(w) && d.probeLimited(w) ||
				len(w.held) >= 8*w.lanes || !d.allowed(j, w) ||
				d.reportAge(w) > 1 && j.rounds >= d.maxRounds(j) {
				continue
			}
			if left--; left < 0 && best > 0.5*j.value || best >= goodEnough*j.value {
				break
			}
			end, ok := d.admit(j, w)
			if !ok || float64(j.due-end) < (0.5+d.cfg.Margin*(1-d.freeShare))*d.delay(w) {
				continue
			}
			spread := d.delay(w) + float64(end-d.now)*d.meanError + 1
			worth := j.value * math.Exp(-(end-d.now).Seconds()/100) *
				(1 - math.Exp(-float64(j.due-end)/spread)/2)
			if end-d.now-w.latency-time.Duration(j.size/d.speedAt(w, d.now)) > time.Millisecond {
				worth *= 0.5
			}
			if d.stale(w) {
				worth *= 0.95
			}
			if w.Zone != d.cfg.Zone {
				worth -= d.cfg.PriceCross * d.meanWorth
			}
			if worth > best {
				best, found = worth, w
			}
		}
	}
	return found
}

// laneFreeTimes returns when each lane frees, ascending, by the load of peers and the own attempts.
func (d *Dispatcher) laneFreeTimes(w *worker) []time.Duration {
	base := max(d.now, w.waitAt+time.Duration(w.wait))
	d.laneTimes = d.laneTimes[:0]
	for i := range w.lanes {
		d.laneTimes = append(d.laneTimes, base)
		if i >= w.lanes-int(w.busy+0.5) {
			d.laneTimes[i] = max(base, w.busyAt+time.Duration(d.meanRun/2))
		}
	}
	for _, a := range w.inFlight {
		start := max(a.started, a.sent+w.latency) // without start notices: on arrival
		if a.started == 0 && d.cfg.TellsStart {
			start = max(start, d.laneTimes[0])
		}
		end := start + time.Duration(a.job.size/d.speedAt(w, start))
		if end < d.now { // overdue: a quarter of its run so far remains
			end = d.now + (d.now-start)/4
		}
		d.occupy(a.job.slots, end)
	}
	return d.laneTimes
}

func (d *Dispatcher) occupy(k int, end time.Duration) {
	for i := range min(k, len(d.laneTimes)) {
		d.laneTimes[i] = end
	}
	slices.Sort(d.laneTimes)
}

// admit is the EDF demand test: in order of deadlines, j and each held job behind it must end in time.
func (d *Dispatcher) admit(j *job, w *worker) (ends time.Duration, ok bool) {
	if !d.slotsKnown {
		w.lanes = max(w.lanes, min(j.slots, 16)) // assumed until slots are reported, up to 16
	}
	lanes := d.laneFreeTimes(w)
	if j.slots > len(lanes) {
		return 0, false
	}
	at, _ := slices.BinarySearchFunc(w.held, j.due+1, byDue) // j's place among the held jobs
	d.queue = slices.Insert(append(d.queue[:0], w.held...), at, j)
	for i, h := range d.queue {
		k := min(h.slots, len(lanes))
		end := lanes[k-1] + w.latency + time.Duration(h.size/d.speedAt(w, d.now))
		if d.occupy(k, end); i >= at && end > h.due {
			return 0, false
		} else if i == at {
			ends = end
		}
	}
	return ends, true
}

// allowed reports whether j may be sent to w now: the drain, attempt, repeat, suspect and cold rules.
func (d *Dispatcher) allowed(j *job, w *worker) bool {
	c := &d.cfg.Classes[j.class]
	if j.closed || j.inFlight > 0 || !w.listed || len(j.attempts) >= d.cfg.MaxAttempts ||
		c.Kind >= 0 && c.Kind != w.Kind || len(j.attempts) > 0 && d.cfg.Repeats > 0 && d.repeatBudget < 1 {
		return false
	}
	if w.suspect && (d.now < w.trialAt || len(w.inFlight) > 0 || c.Effect != Repeatable) {
		return false // a suspect gets one job at a time, a repeatable one
	}
	if a := j.mayRun; a != nil && c.Effect != Repeatable && (c.Effect == Unsafe || d.now >= a.sent+c.KeyTTL ||
		c.Group == GroupZone && a.w.Zone != w.Zone || c.Group == GroupCell && a.w.Cell != w.Cell) {
		return false
	}
	// The cold rule; see worker.coldSent. 2.2: a window can see a full budget and its refill.
	sharers, size := min(owners, d.cfg.Replicas), max(j.size, j.coldSize)
	speed := d.speedAt(w, d.now-d.cfg.OverloadFor)
	open := sharers == owners && d.cfg.TipMultiple*speed >= w.speed && d.reportAge(w) > 0 &&
		d.freeShare >= 0.15 && (d.stale(w) || w.lanes > len(w.inFlight)+int(w.busy+0.5)) &&
		float64(d.cfg.Replicas)*3e8 < d.meanGap*float64(len(d.ready))
	if open { // to all schedulers
		sharers = owners / 2
	}
	rate := speed * cmp.Or(w.Scale, float64(w.lanes)) * d.cfg.TipMultiple / (2.2 * float64(sharers))
	w.coldSent, w.coldAt = max(0, w.coldSent-float64(d.now-w.coldAt)*rate), d.now
	return d.cfg.TipMultiple <= 0 || d.speedAt(w, d.now) >= w.speed || !j.lostOnCold &&
		(open || d.owns(w, owners)) && w.coldSent+size <= rate*float64(d.cfg.OverloadFor) &&
		(!open || 1.2*size <= rate*float64(d.cfg.OverloadFor)) // several large jobs may arrive at once
}

// send is the only function that sends a job to a worker.
func (d *Dispatcher) send(j *job, w *worker) {
	a := &attempt{job: j, index: len(j.attempts), w: w, sent: d.now, idleLane: len(w.inFlight) < w.lanes,
		lastLane: len(w.inFlight)+1 >= w.lanes,
		timeout:  w.latency + time.Duration(w.wait+3*d.meanRun+d.delay(w))}
	w.coldSent += max(j.size, j.coldSize)
	d.repeatBudget = min(d.repeatBudget+d.cfg.Repeats, 1+d.cfg.Repeats) -
		float64(min(len(j.attempts), 1))*(1+d.cfg.Repeats)
	j.attempts, w.inFlight = append(j.attempts, a), append(w.inFlight, a)
	j.inFlight, j.mayRun = j.inFlight+1, cmp.Or(j.mayRun, a)
	d.actions = append(d.actions, Action{Kind: Send, Job: j.id, Worker: w.ID})
}

func byDue(j *job, due time.Duration) int { return cmp.Compare(j.due, due) }
