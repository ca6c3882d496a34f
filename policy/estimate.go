package policy

import (
	"cmp"
	"math"
	"time"
)

// sizeEstimator corrects the hints of a class: the log of the size (y) is linear in the log of the hint (x).
type sizeEstimator struct{ runs, hints, meanHint, shift, variance, covariance float64 }

var initialEstimator = sizeEstimator{variance: 1, covariance: 0.5}

// observeHint takes in the hint of every arrival, served or not: jobs served in time are smaller.
func (f *sizeEstimator) observeHint(x float64) {
	f.hints++
	f.meanHint += (x - f.meanHint) / min(f.hints, 300)
}

func (f *sizeEstimator) size(hint float64) float64 {
	return math.Exp(f.meanHint + f.shift + f.covariance/f.variance*(math.Log(hint)-f.meanHint))
}

func (f *sizeEstimator) observeRun(x, y float64) {
	f.runs++
	rate, dx := 1/min(f.runs+10, 300), x-f.meanHint
	f.shift += 0.01 * (y - f.meanHint - f.shift)
	f.variance += rate * (dx*dx - f.variance)
	f.covariance += rate * (dx*(y-f.meanHint-f.shift) - f.covariance)
}

// delay is the expected delay by peers: that seen at w, decaying to the mean of its zone and kind.
func (d *Dispatcher) delay(w *worker) float64 {
	mean := d.meanDelay[d.zoneKind(w)]
	return mean + (w.delay-mean)*math.Exp(-float64(d.now-w.delayAt)/4e9)
}

// observeDelay learns from a delay that peers caused.
func (d *Dispatcher) observeDelay(w *worker, delay float64) {
	mean := &d.meanDelay[d.zoneKind(w)]
	*mean = cmp.Or(*mean, delay) + (delay-cmp.Or(*mean, delay))/20
	w.delay, w.delayAt = d.delay(w)+(delay-d.delay(w))/3, d.now
}

func (d *Dispatcher) zoneKind(w *worker) int {
	return (min(max(w.Zone, -1), d.cfg.Zones-1)+1)*d.cfg.Kinds + w.Kind
}

// measureRun learns the class's sizes and the worker's speed and lanes from a run that ended.
func (d *Dispatcher) measureRun(a *attempt) {
	w, j, run := a.w, a.job, max(float64(d.now-cmp.Or(a.started, a.sent+a.w.latency)), 1e6) // a tick at least
	if a.started == 0 && (d.cfg.TellsStart || !a.idleLane) {
		return // the time may include a wait
	}
	d.meanRun += (run - d.meanRun) * 0.02
	if d.speedAt(w, a.sent) < w.speed {
		return
	}
	f := &d.estimators[j.class]
	e := min(max(math.Log(run*w.speed/f.size(j.hint)), -2.5), 2.5)
	f.observeRun(math.Log(j.hint), math.Log(run*w.speed))
	d.meanError += (math.Abs(e) - d.meanError) * 0.02
	w.speed *= math.Exp(-e / min(w.runs+3, 10))
	w.runs++
	d.logSpeed[w.Kind] += (math.Log(w.speed) - d.logSpeed[w.Kind]) / 20
	// Assume one more lane, unless slots are reported or peers use the worker: they may hold that lane.
	if a.lastLane && a.idleLane && !d.slotsKnown && w.lanes < int(w.Scale+0.5) && d.delay(w) < d.meanRun/50 {
		w.lanes++
	}
}

// observeStart learns from a start notice: peers caused the wait beyond the latency.
func (d *Dispatcher) observeStart(a *attempt) {
	w, running, took := a.w, 0, d.now-a.sent
	a.started, w.latency = d.now, min(cmp.Or(w.latency, took), took)
	for _, o := range w.inFlight {
		running += o.job.slots * min(1, int(o.started))
	}
	delay := float64(took - w.latency)
	if a.idleLane {
		d.observeDelay(w, delay)
	}
	if w.lanes = max(w.lanes, running); delay > d.meanRun/5 {
		w.lanes, a.lastLane = max(1, running), false
	}
}

// applyLoad takes in a load report. Lanes neither free nor filled by own attempts are held by peers.
func (d *Dispatcher) applyLoad(w *worker, e *Event) {
	if slots := int(e.Load.FreeSlots + 0.5); e.HasLoad && e.Load.FreeSlots >= 0 {
		d.slotsKnown = true
		d.freeShare += (float64(min(slots, 1)) - d.freeShare) / 20
		w.lanes = max(w.lanes, slots)
		w.busy, w.busyAt = max(0, float64(w.lanes-len(w.inFlight)-slots)), d.now
	}
	if e.HasLoad && e.Load.Queue >= 0 {
		w.wait, w.waitAt = max(0, e.Load.Queue-0.5)*d.meanRun/float64(w.lanes), d.now
	}
}

// setSuspect marks w suspect and moves its held jobs, or clears the mark at a sign of life if errs is 0.
func (d *Dispatcher) setSuspect(w *worker, suspect bool) {
	if !suspect {
		if w.aliveAt = d.now; w.errs > 0 {
			return
		}
	}
	if suspect != w.suspect {
		verdict := map[bool]string{true: "suspected", false: "reopened"}[suspect]
		d.actions = append(d.actions, Action{Kind: Log, Text: "worker " + verdict})
	}
	if w.suspect, w.trialAt = suspect, d.now+2*time.Second; suspect {
		d.release(w, true)
	}
}

// speedAt is the speed of a lane of w at a time, reduced during a cold start.
func (d *Dispatcher) speedAt(w *worker, at time.Duration) float64 {
	if w.Since <= 0 || d.cfg.WarmUp <= 0 {
		return w.speed
	}
	age := min(max(float64(at-w.Since)/float64(d.cfg.WarmUp), 0), 1)
	return w.speed * (d.cfg.ColdFrom + (1-d.cfg.ColdFrom)*age)
}

// reportAge is the age of w's report in mean runs: beyond 1 its lanes have other jobs. 0 without reports.
func (d *Dispatcher) reportAge(w *worker) float64 {
	if !d.cfg.Probes || !d.cfg.ReportInProbes {
		return 0
	}
	return float64(d.now-w.reportAt) / d.meanRun
}

// stale reports whether w has to be probed before a send.
func (d *Dispatcher) stale(w *worker) bool { return d.reportAge(w) > 0.25 }

// probeLimited reports whether this scheduler's part of the probes of w is used up; see Config.Questions.
func (d *Dispatcher) probeLimited(w *worker) bool {
	full, all := 1-d.freeShare, d.cfg.Replicas
	probers := min(all, minProbers+all*int(2*d.freeShare)) // all, where half of the reports have a free lane
	interval := float64(probers) * full * full * d.meanRun / (d.cfg.Questions * max(w.Scale, 1))
	return all > 1 && d.cfg.Questions > 0 && len(w.waiters) == 0 &&
		(!d.owns(w, probers) || float64(d.now-w.probedAt) < interval)
}

// maxRounds is how often a job may probe a found worker: 8 times, and once more for each 100 ms.
func (d *Dispatcher) maxRounds(j *job) int { return 8 + int((d.now-j.arrived)/(100*time.Millisecond)) }
