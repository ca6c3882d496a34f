package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// settle admits a job or answers it: the first worker worth enough, else the best. Worth is the chance to end
// in time, less a hundredth a second, as long runs are lost more often; a wait behind own jobs halves it.
func (d *Dispatcher) settle(j *job) {
	found := d.pick(j, j.left)
	if found == nil && j.left != nil {
		found = d.pick(j, nil)
	}
	if found == nil {
		d.finish(j)
		return
	}
	// No guesses: what 80 schedulers sent to workers they knew nothing of waited 6 s beside idle lanes.
	if j.rounds++; j.rounds <= d.rounds(j) && d.probe(j, found) {
		return
	}
	if !found.active {
		found.active, d.active = true, append(d.active, found)
	}
	at, _ := slices.BinarySearchFunc(found.held, j.due+1, byDue)
	found.held, j.on = slices.Insert(found.held, at, j), found
	d.pump(found, false)
}

// pick is settle's search, leaving one worker out. A report older than a mean run tells nothing of lanes.
func (d *Dispatcher) pick(j *job, not *worker) (found *worker) {
	best := 0.0
	for k := 0; k < len(d.near) && best < enough*j.value && j.due > d.now; k++ {
		left := max(1, d.tries()-k%2)
		for _, w := range d.near[(j.part+k)%len(d.near)] {
			mute := d.now < w.mute || len(w.askers) > 0 && d.now-w.probed > 10*w.net+20*time.Millisecond
			if w == not || mute || d.stale(w) && d.dear(w) || len(w.held) >= 8*w.lanes || !d.allowed(j, w) ||
				d.age(w) > 1 && j.rounds >= d.rounds(j) {
				continue
			}
			if left--; left < 0 && best > 0.5*j.value || best >= enough*j.value {
				break
			}
			end, ok := d.admit(j, w)
			if !ok || float64(j.due-end) < (0.5+d.cfg.Margin*(1-d.roomy))*d.lag(w) {
				continue
			}
			spread := d.lag(w) + float64(end-d.now)*d.noise + 1
			worth := j.value * math.Exp(-(end-d.now).Seconds()/100) *
				(1 - math.Exp(-float64(j.due-end)/spread)/2)
			if end-d.now-w.net-time.Duration(j.size/d.power(w, d.now)) > time.Millisecond {
				worth *= 0.5
			}
			if d.stale(w) {
				worth *= 0.95
			}
			if w.Zone != d.cfg.Zone {
				worth -= d.cfg.PriceCross * d.worth
			}
			if worth > best {
				best, found = worth, w
			}
		}
	}
	return found
}

// free fills d.lanes with when lanes free, earliest first: by peers' lanes and backlog, then own attempts.
func (d *Dispatcher) free(w *worker) []time.Duration {
	base := max(d.now, w.waitAt+time.Duration(w.wait))
	d.lanes = d.lanes[:0]
	for i := range w.lanes {
		d.lanes = append(d.lanes, base)
		if i >= w.lanes-int(w.busy+0.5) {
			d.lanes[i] = max(base, w.busyAt+time.Duration(d.meanRun/2))
		}
	}
	for _, a := range w.out {
		start := max(a.began, a.sent+w.net) // where nothing is told, it ran from the first
		if a.began == 0 && d.cfg.TellsStart {
			start = max(start, d.lanes[0])
		}
		end := start + time.Duration(a.job.size/d.power(w, start))
		if end < d.now { // overdue: the longer it has run the longer it will
			end = d.now + (d.now-start)/4
		}
		d.fill(a.job.slots, end)
	}
	return d.lanes
}

func (d *Dispatcher) fill(k int, end time.Duration) {
	for i := range min(k, len(d.lanes)) {
		d.lanes[i] = end
	}
	slices.Sort(d.lanes)
}

// admit is the EDF demand test: by deadline, each held job and the newcomer must end in time.
func (d *Dispatcher) admit(j *job, w *worker) (ends time.Duration, ok bool) {
	if !d.slotsTold {
		w.lanes = max(w.lanes, min(j.slots, 16)) // what the job needs, not any figure, until told better
	}
	lanes := d.free(w)
	if j.slots > len(lanes) {
		return 0, false
	}
	at, _ := slices.BinarySearchFunc(w.held, j.due+1, byDue) // the newcomer's place among the held
	d.queue = slices.Insert(append(d.queue[:0], w.held...), at, j)
	for i, h := range d.queue {
		k := min(h.slots, len(lanes))
		end := lanes[k-1] + w.net + time.Duration(h.size/d.power(w, d.now))
		if d.fill(k, end); i >= at && end > h.due {
			return 0, false
		} else if i == at {
			ends = end
		}
	}
	return ends, true
}

// allowed states when a job may be sent to a worker: the drain, repeat, attempt and cold rules.
func (d *Dispatcher) allowed(j *job, w *worker) bool {
	c := &d.cfg.Classes[j.class]
	if j.closed || j.out > 0 || !w.listed || len(j.atts) >= d.cfg.MaxAttempts ||
		c.Kind >= 0 && c.Kind != w.Kind || len(j.atts) > 0 && d.cfg.Repeats > 0 && d.spare < 1 {
		return false
	}
	if w.suspect && (d.now < w.trial || len(w.out) > 0 || c.Effect != Repeatable) {
		return false // a suspect gets one job, and one that may be lost
	}
	if a := j.mayRun; a != nil && c.Effect != Repeatable && (c.Effect == Unsafe || d.now >= a.sent+c.KeyTTL ||
		c.Group == GroupZone && a.w.Zone != w.Zone || c.Group == GroupCell && a.w.Cell != w.Cell) {
		return false
	}
	// A cold worker is for a stable few, else a part held no job; when lanes filled all at once can't push it
	// over, and no crowd comes in a report's age or for the rare free one, for all that see one free. Half a
	// part drains in a window.
	of, warm, bulk := min(keepers, d.cfg.Replicas), d.power(w, d.now-d.cfg.OverloadFor), max(j.size, j.bulk)
	all := of == keepers && d.cfg.TipMultiple*warm >= w.speed && d.age(w) > 0 && d.roomy >= 0.15 &&
		(d.stale(w) || w.lanes > len(w.out)+int(w.busy+0.5)) &&
		float64(d.cfg.Replicas)*3e8 < d.gap*float64(len(d.order))
	if all {
		of = keepers / 2
	}
	rate := warm * cmp.Or(w.Scale, float64(w.lanes)) * d.cfg.TipMultiple / (2.2 * float64(of))
	w.coldSent, w.coldAt = max(0, w.coldSent-float64(d.now-w.coldAt)*rate), d.now
	return d.cfg.TipMultiple <= 0 || d.power(w, d.now) >= w.speed ||
		!j.tipped && (all || d.keeps(w, keepers)) && w.coldSent+bulk <= rate*float64(d.cfg.OverloadFor) &&
			(!all || 1.2*bulk <= rate*float64(d.cfg.OverloadFor)) // several large ones can come at once
}

// send is the only way to a worker.
func (d *Dispatcher) send(j *job, w *worker) {
	a := &attempt{job: j, n: len(j.atts), w: w, sent: d.now, clean: len(w.out) < w.lanes,
		full: len(w.out)+1 >= w.lanes, patience: w.net + time.Duration(w.wait+3*d.meanRun+d.lag(w))}
	w.coldSent += max(j.size, j.bulk)
	d.spare = min(d.spare+d.cfg.Repeats, 1+d.cfg.Repeats) - float64(min(len(j.atts), 1))*(1+d.cfg.Repeats)
	j.atts, w.out = append(j.atts, a), append(w.out, a)
	j.out, j.mayRun = j.out+1, cmp.Or(j.mayRun, a)
	d.act = append(d.act, Action{Kind: Send, Job: j.id, Worker: w.ID})
}

func byDue(j *job, due time.Duration) int { return cmp.Compare(j.due, due) }
