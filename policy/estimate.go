package policy

import (
	"cmp"
	"math"
	"time"
)

// fit corrects the hints of a class: the log of the size measured (y) is a line over the log of the hint (x).
type fit struct{ n, seen, x, shift, xx, xy float64 }

var unmeasured = fit{xx: 1, xy: 0.5}

// hinted takes in the hint of an arrival, served or not: what ends soon would shift the mean.
func (f *fit) hinted(x float64) {
	f.seen++
	f.x += (x - f.x) / min(f.seen, 300)
}

func (f *fit) size(hint float64) float64 {
	return math.Exp(f.x + f.shift + f.xy/f.xx*(math.Log(hint)-f.x))
}

func (f *fit) learn(x, y float64) {
	f.n++
	rate, dx := 1/min(f.n+10, 300), x-f.x
	f.shift += 0.01 * (y - f.x - f.shift)
	f.xx += rate * (dx*dx - f.xx)
	f.xy += rate * (dx*(y-f.x-f.shift) - f.xy)
}

// lag is the delay by peers to expect: what was seen at the worker, fading into its zone's and kind's mean.
func (d *Dispatcher) lag(w *worker) float64 {
	mean := d.meanLag[d.group(w)]
	return mean + (w.lag-mean)*math.Exp(-float64(d.now-w.lagAt)/4e9)
}

// delayed learns from a delay that is not of our own making.
func (d *Dispatcher) delayed(w *worker, delay float64) {
	mean := &d.meanLag[d.group(w)]
	*mean = cmp.Or(*mean, delay) + (delay-cmp.Or(*mean, delay))/20
	w.lag, w.lagAt = d.lag(w)+(delay-d.lag(w))/3, d.now
}

func (d *Dispatcher) group(w *worker) int {
	return (min(max(w.Zone, -1), d.cfg.Zones-1)+1)*d.cfg.Kinds + w.Kind
}

// measure learns size, speed and lanes from a run.
func (d *Dispatcher) measure(a *attempt) {
	w, j, run := a.w, a.job, max(float64(d.now-cmp.Or(a.began, a.sent+a.w.net)), 1e6) // one tick
	if a.began == 0 && (d.cfg.TellsStart || !a.clean) {
		return // it may have waited
	}
	d.meanRun += (run - d.meanRun) * 0.02
	if d.power(w, a.sent) < w.speed {
		return
	}
	f := &d.fit[j.class]
	e := min(max(math.Log(run*w.speed/f.size(j.hint)), -2.5), 2.5)
	f.learn(math.Log(j.hint), math.Log(run*w.speed))
	d.noise += (math.Abs(e) - d.noise) * 0.02
	w.speed *= math.Exp(-e / min(w.runs+3, 10))
	w.runs++
	d.kindLog[w.Kind] += (math.Log(w.speed) - d.kindLog[w.Kind]) / 20
	// A lane more, unless told how many: only where peers leave the worker alone, or they hold it already.
	if a.full && a.clean && !d.slotsTold && w.lanes < int(w.Scale+0.5) && d.lag(w) < d.meanRun/50 {
		w.lanes++
	}
}

// began learns from a start notice: what it waited beyond the way there is the backlog of peers.
func (d *Dispatcher) began(a *attempt) {
	w, running, took := a.w, 0, d.now-a.sent
	a.began, w.net = d.now, min(cmp.Or(w.net, took), took)
	for _, o := range w.out {
		running += o.job.slots * min(1, int(o.began))
	}
	delay := float64(took - w.net)
	if a.clean {
		d.delayed(w, delay)
	}
	if w.lanes = max(w.lanes, running); delay > d.meanRun/5 {
		w.lanes, a.full = max(1, running), false
	}
}

// report takes in a load report: free slots bound the lanes that peers hold.
func (d *Dispatcher) report(w *worker, e *Event) {
	if slots := int(e.Load.FreeSlots + 0.5); e.HasLoad && e.Load.FreeSlots >= 0 {
		d.slotsTold = true
		d.roomy += (float64(min(slots, 1)) - d.roomy) / 20
		w.lanes = max(w.lanes, slots)
		w.busy, w.busyAt = max(0, float64(w.lanes-len(w.out)-slots)), d.now
	}
	if e.HasLoad && e.Load.Queue >= 0 {
		w.wait, w.waitAt = max(0, e.Load.Queue-0.5)*d.meanRun/float64(w.lanes), d.now
	}
}

// judge shuts a suspect worker or opens it at a sign of life. When it is shut, held jobs go elsewhere.
func (d *Dispatcher) judge(w *worker, bad bool) {
	if !bad {
		if w.seen = d.now; w.errs > 0 {
			return
		}
	}
	if bad != w.suspect {
		verdict := map[bool]string{true: "suspected", false: "reopened"}[bad]
		d.act = append(d.act, Action{Kind: Log, Text: "worker " + verdict})
	}
	if w.suspect, w.trial = bad, d.now+2*time.Second; bad {
		d.pump(w, true)
	}
}

// power is what a lane of a worker does at a time, cold start included.
func (d *Dispatcher) power(w *worker, at time.Duration) float64 {
	if w.Since <= 0 || d.cfg.WarmUp <= 0 {
		return w.speed
	}
	age := min(max(float64(at-w.Since)/float64(d.cfg.WarmUp), 0), 1)
	return w.speed * (d.cfg.ColdFrom + (1-d.cfg.ColdFrom)*age)
}

// age is that of the last report, in mean runs: after one the lanes have other jobs. 0 where none can be had.
func (d *Dispatcher) age(w *worker) float64 {
	if !d.cfg.Probes || !d.cfg.ReportInProbes {
		return 0
	}
	return float64(d.now-w.told) / d.meanRun
}

// stale tells whether a worker is to be asked before it is sent to.
func (d *Dispatcher) stale(w *worker) bool { return d.age(w) > 0.25 }

// dear tells whether this scheduler's part of what all may ask of a worker is used up: all have one, or few
// while most answers find no free lane. A crowd sees one freed lane many times, and queues for it.
func (d *Dispatcher) dear(w *worker) bool {
	full, all := 1-d.roomy, d.cfg.Replicas
	of := min(all, askers+all*int(2*d.roomy)) // all, where half of the answers find a lane
	each := float64(of) * full * full * d.meanRun / (d.cfg.Questions * max(w.Scale, 1))
	return all > 1 && d.cfg.Questions > 0 && len(w.askers) == 0 &&
		(!d.keeps(w, of) || float64(d.now-w.probed) < each)
}

// rounds is how often a job may ask: some workers at once, more as time goes by.
func (d *Dispatcher) rounds(j *job) int { return 8 + int((d.now-j.came)/(100*time.Millisecond)) }
