package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const never, enough, keepers, askers = time.Duration(math.MaxInt64), 0.995, 4, 8

// New makes the Dispatcher of one scheduler; settings that make no sense are an error.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	n, k := len(cfg.Classes), cfg.Kinds
	return &Dispatcher{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), armed: never, gap: 2.5e8, roomy: 1,
		jobs: map[uint64]*job{}, workers: map[uint32]*worker{}, firstTry: make([]time.Duration, n),
		fit: slices.Repeat([]fit{unmeasured}, n), kindLog: make([]float64, k),
		meanLag: make([]float64, (cfg.Zones+1)*k), zones: make([]zone, cfg.Zones+1)}, nil
}

// Step takes what happened at now and appends what to do to out.
func (d *Dispatcher) Step(now time.Duration, in []Event, out []Action) []Action {
	d.now, d.act = now, out
	for i := range in {
		e := &in[i]
		switch w := d.workers[e.Worker]; e.Kind {
		case JobArrived:
			d.arrived(e)
		case ClientGone:
			if j := d.jobs[e.Job]; j != nil {
				d.close(j)
			}
		case AttemptEnded, JobStarted, JobProgress, AnswerBegun:
			j := d.jobs[e.Job] // nil, or done: late news of what is over
			if j != nil && e.Attempt >= 0 && e.Attempt < len(j.atts) && !j.atts[e.Attempt].done {
				d.news(e, j.atts[e.Attempt])
			}
		case WorkerList:
			d.list(e)
		case ListLost: // ask again, after a jittered wait that grows with each failure
			d.watching, d.failures = false, min(d.failures+1, 8)
			d.watchAt = now + time.Duration((0.5+d.rng.Float64())*float64(d.failures)*5e8)
		case ProbeEnded:
			if w == nil {
				break
			}
			for _, j := range w.askers {
				j.asked = max(0, j.asked-1)
			}
			zone := &d.zones[d.group(w)/d.cfg.Kinds]
			if w.askers = w.askers[:0]; e.Result == OK {
				zone.silent -= zone.silent / 6
				if w.suspect && w.errs == 0 && d.now-w.seen > d.cfg.OverloadFor || w.told < zone.silentAt {
					w.Since = d.now // back from silence, its own or its zone's: cold, until a list tells
				}
				w.told = d.now
				d.report(w, e)
				w.net = min(cmp.Or(w.net, e.Took), e.Took)
				d.delayed(w, float64(e.Took-w.net))
				d.judge(w, false)
			} else if w.mute = d.now + time.Duration(d.meanRun/4); e.Result == TimedOut ||
				e.Result == ConnectFailed { // probes do not wait behind jobs
				if zone.silent += (1 - zone.silent) / 6; zone.silent > 0.5 {
					zone.silentAt = d.now
				}
				d.judge(w, true)
			}
		}
	}
	d.sweep()
	return d.act
}

// arrived sizes the job, sets its deadline and admits or refuses it.
func (d *Dispatcher) arrived(e *Event) {
	c, f := &d.cfg.Classes[e.Class], &d.fit[e.Class]
	j := &job{id: e.Job, class: e.Class, slots: max(e.Slots, 1), came: d.now,
		hint: cmp.Or(max(float64(e.Size), 0), max(math.Exp(f.x), 1e6))} // no hint: the class's mean
	d.jobs[j.id], d.firstTry[j.class] = j, max(d.firstTry[j.class], e.Budget)
	f.hinted(math.Log(j.hint))
	j.size, j.bulk = f.size(j.hint), j.hint*min(1, 10-f.n)
	// A later try has used up some of its client's time: beyond two advised waits it is short patience.
	spent := max(0, d.firstTry[j.class]-e.Budget-e.Waited) // to wait for its time was its own wish
	if !e.Retry && spent > 2*d.cfg.MaxRetryAfter+500*time.Millisecond {
		spent = 0
	}
	j.due = d.now + min(e.Budget, c.OnTime+time.Duration(c.Stretch*j.size)-spent)
	if j.value = c.Worth; d.cfg.WorthByWork {
		j.value *= j.size
	}
	d.worth, d.meanRun = cmp.Or(d.worth, j.value), cmp.Or(d.meanRun, j.size)
	d.worth += (j.value - d.worth) * 0.02
	d.roomy += (1 - d.roomy) / 100 // who asks nobody any more asks all again
	d.gap, d.last = d.gap+(float64(d.now-cmp.Or(d.last, d.now))-d.gap)/20, d.now
	if d.remap(j.size); d.ranges > 1 && j.size > d.bound {
		j.part = 2
	}
	d.ask(j)
}

// news is what a worker tells of an attempt that is out.
func (d *Dispatcher) news(e *Event, a *attempt) {
	j, w := a.job, a.w
	if e.Kind == AttemptEnded && e.Result == OK {
		w.errs = max(0, w.errs-1)
	}
	if e.Kind != AttemptEnded || e.Result == OK || e.Result == Full {
		d.judge(w, false)
	}
	if a.heard = d.now; e.Kind == JobStarted && a.began == 0 {
		d.began(a)
	}
	if e.Kind != AttemptEnded {
		return
	}
	a.done, j.out, j.closed = true, j.out-1, j.closed || e.Finished
	if j.mayRun == a && e.Result.NeverRan() {
		j.mayRun = nil // proved: and no other attempt was out with it
	}
	d.report(w, e)
	w.out = slices.DeleteFunc(w.out, func(o *attempt) bool { return o == a })
	switch e.Result {
	case OK:
		if d.measure(a); d.cfg.KeepLanes && a.began > 0 && d.roomy < 0.5 && w.Zone == d.cfg.Zone { // a lane
			w.told, w.busy, w.busyAt = d.now, max(w.busy, float64(w.lanes-len(w.out)-1)), d.now
		}
	case Full:
		w.lanes, w.wait, w.waitAt = max(1, w.lanes-1), max(w.wait-float64(d.now-w.waitAt), d.meanRun), d.now
		d.delayed(w, 4*d.meanRun)
	case AppError: // one that fails jobs looks idle: no sign of life opens it, only jobs that end well
		w.errs = min(w.errs+2, 4)
		d.judge(w, true)
	case ConnectFailed, ConnectionLost:
		j.tipped = j.tipped || d.power(w, d.now) < w.speed // by it, maybe
		d.judge(w, true)
	case Cancelled: // moved away
		if a.began == 0 {
			d.delayed(w, 2*float64(d.now-a.sent))
		}
	}
	if e.Result == Rejected && !j.closed {
		d.finish(j)
	} else if j.closed {
		d.close(j)
	} else if j.out == 0 {
		d.settle(j)
	}
}

func (d *Dispatcher) list(e *Event) {
	if d.failures = 0; e.Stale { // a start: hundreds at once must not all ask at once
		d.watchAt = d.now + time.Duration(d.rng.Float64()*float64(min(d.cfg.Replicas, 500))*5e6)
	}
	for _, w := range d.order {
		w.listed = !e.Whole
	}
	for _, l := range e.Workers {
		l.Kind = min(max(l.Kind, 0), d.cfg.Kinds-1)
		w := d.workers[l.ID]
		if w == nil {
			w = &worker{speed: math.Exp(d.kindLog[l.Kind]), lanes: 1, rank: d.rank(&l)}
			d.workers[l.ID] = w
		}
		if w.Since != l.Since {
			w.suspect, w.seen = false, d.now
		}
		w.Worker, w.listed = l, l.State == Ready
		if at, old := slices.BinarySearchFunc(d.order, l.ID, byID); w.listed && !old {
			d.order = slices.Insert(d.order, at, w)
		}
	}
	d.order = slices.DeleteFunc(d.order, func(w *worker) bool { return !w.listed })
	d.relist() // what was held for a worker that left goes elsewhere in sweep
}

// sweep judges the silent, moves the hopeless, probes, releases what can go, and sets one timer.
func (d *Dispatcher) sweep() {
	waiting := d.asking
	d.wake, d.asking = never, nil
	if d.cfg.Ask && !d.watching && d.now >= d.watchAt {
		d.watching, d.act = true, append(d.act, Action{Kind: Watch})
	} else if d.cfg.Ask && !d.watching {
		d.wake = d.watchAt
	}
	for _, j := range waiting {
		if !j.closed && j.asked > 0 && d.now < j.until {
			d.wake, d.asking = min(d.wake, j.until), append(d.asking, j)
		} else if j.asked = 0; !j.closed && j.out == 0 && j.on == nil { // else it asked from where it is
			d.settle(j) // it may ask again
		}
	}
	for _, w := range d.active {
		for _, a := range w.out {
			took := float64(d.now - a.sent - w.net)
			if d.cfg.TellsStart && a.clean && a.began == 0 && !a.late && took > d.meanRun/2 {
				a.late = true // one that has waited long will wait about as long again
				d.delayed(w, 2*took)
			}
			if due := d.stuck(a); d.now < due {
				d.wake = min(d.wake, due)
			} else if a.job.out == 1 && d.moves(a) {
				d.act = append(d.act, Action{Kind: Cancel, Job: a.job.id, Attempt: a.n})
			}
			due := a.sent + a.patience
			if a.began > 0 || !d.cfg.TellsStart {
				due = max(a.sent, a.began) + a.patience + time.Duration(3*a.job.size/d.power(w, d.now))
			}
			if d.now < due {
				d.wake = min(d.wake, due)
			} else if w.seen < a.sent && !w.suspect {
				d.judge(w, true)
			}
		}
	}
	for i := 0; i < len(d.active); i++ { // it grows when a job moves
		d.pump(d.active[i], true)
	}
	d.active = slices.DeleteFunc(d.active, func(w *worker) bool {
		w.active = len(w.out)+len(w.held) > 0
		return !w.active
	})
	d.wake = max(d.wake, d.now+time.Millisecond)
	if d.wake < never && (d.armed <= d.now || d.wake < d.armed) {
		d.timer, d.armed = d.timer+1, d.wake
		d.act = append(d.act, Action{Kind: Timer, After: d.wake - d.now, Timer: d.timer})
	}
}

// finish is the only way to give an answer: a refusal where a repeat is harmless, else a failure.
func (d *Dispatcher) finish(j *job) {
	if j.mayRun == nil || d.cfg.Classes[j.class].Harmless() {
		d.act = append(d.act, Action{Kind: Refuse, Job: j.id, After: d.cfg.MaxRetryAfter})
	} else {
		d.act = append(d.act, Action{Kind: Fail, Job: j.id})
	}
	d.close(j)
}

func (d *Dispatcher) close(j *job) {
	if j.on != nil {
		j.on.held = slices.DeleteFunc(j.on.held, func(h *job) bool { return h == j })
	}
	if j.closed = true; j.out == 0 {
		delete(d.jobs, j.id)
	}
}
