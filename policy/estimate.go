package policy

import (
	"cmp"
	"math"
	"time"
)

// sizeEstimator corrects the hints of a class: the log of the size (y) is linear in the log of the hint (x).
type sizeEstimator struct{ runs, hints, meanHint, shift, variance, covariance float64 }

var initialEstimator = sizeEstimator{variance: 1, covariance: 0.5}

// observeHint takes in the hint of an arrival, served or not: what ends soon would shift the mean.
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

// delay is the delay by peers to expect: what was seen at the worker, fading into its zone's and kind's mean.
func (d *Dispatcher) delay(w *worker) float64 {
	mean := d.meanDelay[d.zoneKind(w)]
	return mean + (w.delay-mean)*math.Exp(-float64(d.now-w.delayAt)/4e9)
}

// observeDelay learns from a delay that is not of our own making.
func (d *Dispatcher) observeDelay(w *worker, delay float64) {
	mean := &d.meanDelay[d.zoneKind(w)]
	*mean = cmp.Or(*mean, delay) + (delay-cmp.Or(*mean, delay))/20
	w.delay, w.delayAt = d.delay(w)+(delay-d.delay(w))/3, d.now
}

func (d *Dispatcher) zoneKind(w *worker) int {
	return (min(max(w.Zone, -1), d.cfg.Zones-1)+1)*d.cfg.Kinds + w.Kind
}

// measureRun learns size, speed and lanes from a run.
func (d *Dispatcher) measureRun(a *attempt) {
	w, j, run := a.w, a.job, max(float64(d.now-cmp.Or(a.started, a.sent+a.w.latency)), 1e6) // one tick
	if a.started == 0 && (d.cfg.TellsStart || !a.idleLane) {
		return // it may have waited
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
	// A lane more, unless told how many: only where peers leave the worker alone, or they hold it already.
	if a.lastLane && a.idleLane && !d.slotsKnown && w.lanes < int(w.Scale+0.5) && d.delay(w) < d.meanRun/50 {
		w.lanes++
	}
}

// observeStart learns from a start notice: what it waited beyond the way there is the backlog of peers.
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

// applyLoad takes in a load report: free slots bound the lanes that peers hold.
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

// setSuspect shuts a suspect worker or opens it at a sign of life. When it is shut, held jobs go elsewhere.
func (d *Dispatcher) setSuspect(w *worker, bad bool) {
	if !bad {
		if w.aliveAt = d.now; w.errs > 0 {
			return
		}
	}
	if bad != w.suspect {
		verdict := map[bool]string{true: "suspected", false: "reopened"}[bad]
		d.actions = append(d.actions, Action{Kind: Log, Text: "worker " + verdict})
	}
	if w.suspect, w.trialAt = bad, d.now+2*time.Second; bad {
		d.release(w, true)
	}
}

// speedAt is what a lane of a worker does at a time, cold start included.
func (d *Dispatcher) speedAt(w *worker, at time.Duration) float64 {
	if w.Since <= 0 || d.cfg.WarmUp <= 0 {
		return w.speed
	}
	age := min(max(float64(at-w.Since)/float64(d.cfg.WarmUp), 0), 1)
	return w.speed * (d.cfg.ColdFrom + (1-d.cfg.ColdFrom)*age)
}

// reportAge is that of the last report, in mean runs: after one the lanes have other jobs. 0 without probes.
func (d *Dispatcher) reportAge(w *worker) float64 {
	if !d.cfg.Probes || !d.cfg.ReportInProbes {
		return 0
	}
	return float64(d.now-w.reportAt) / d.meanRun
}

// stale tells whether a worker is to be asked before it is sent to.
func (d *Dispatcher) stale(w *worker) bool { return d.reportAge(w) > 0.25 }

// probeLimited reports whether this scheduler's part of the probes of w is used up; see Config.Questions.
func (d *Dispatcher) probeLimited(w *worker) bool {
	full, all := 1-d.freeShare, d.cfg.Replicas
	of := min(all, minProbers+all*int(2*d.freeShare)) // all, where half of the answers find a lane
	each := float64(of) * full * full * d.meanRun / (d.cfg.Questions * max(w.Scale, 1))
	return all > 1 && d.cfg.Questions > 0 && len(w.waiters) == 0 &&
		(!d.owns(w, of) || float64(d.now-w.probedAt) < each)
}

// maxRounds is how often a job may ask: some workers at once, more as time goes by.
func (d *Dispatcher) maxRounds(j *job) int { return 8 + int((d.now-j.arrived)/(100*time.Millisecond)) }
