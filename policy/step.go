package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const never, goodEnough, owners, minProbers = time.Duration(math.MaxInt64), 0.995, 4, 8

// New returns the Dispatcher of one scheduler. Invalid settings give an error that names the setting.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	n, k := len(cfg.Classes), cfg.Kinds
	return &Dispatcher{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), timerAt: never, meanGap: 2.5e8,
		freeShare: 1, jobs: map[uint64]*job{}, workers: map[uint32]*worker{}, logSpeed: make([]float64, k),
		estimators: slices.Repeat([]sizeEstimator{initialEstimator}, n), maxBudget: make([]time.Duration, n),
		meanDelay: make([]float64, (cfg.Zones+1)*k), zones: make([]zone, cfg.Zones+1)}, nil
}

// Step handles the events of time now and appends the actions to carry out to out.
func (d *Dispatcher) Step(now time.Duration, in []Event, out []Action) []Action {
	d.now, d.actions = now, out
	for i := range in {
		e := &in[i]
		switch w := d.workers[e.Worker]; e.Kind {
		case JobArrived:
			d.jobArrived(e)
		case ClientGone:
			if j := d.jobs[e.Job]; j != nil {
				d.close(j)
			}
		case AttemptEnded, JobStarted, JobProgress, AnswerBegun:
			j := d.jobs[e.Job] // nil or done: a late event of an attempt that is over
			if j != nil && e.Attempt >= 0 && e.Attempt < len(j.attempts) && !j.attempts[e.Attempt].done {
				d.attemptEvent(e, j.attempts[e.Attempt])
			}
		case WorkerList:
			d.updateList(e)
		case ListLost: // retry after a jittered wait that grows with each failure
			d.watching, d.listFailures = false, min(d.listFailures+1, 8)
			d.watchAt = now + time.Duration((0.5+d.rng.Float64())*float64(d.listFailures)*5e8)
		case ProbeEnded:
			if w == nil {
				break
			}
			for _, j := range w.waiters {
				j.pending = max(0, j.pending-1)
			}
			z := &d.zones[d.zoneKind(w)/d.cfg.Kinds]
			if w.waiters = w.waiters[:0]; e.Result == OK {
				z.silentShare -= z.silentShare / 6
				if w.suspect && w.errs == 0 && now-w.aliveAt > d.cfg.OverloadFor || w.reportAt < z.silentAt {
					w.Since = d.now // it or its zone was silent: cold until a list says otherwise
				}
				w.reportAt = d.now
				d.applyLoad(w, e)
				w.latency = min(cmp.Or(w.latency, e.Took), e.Took)
				d.observeDelay(w, float64(e.Took-w.latency))
				d.setSuspect(w, false)
			} else if w.muteUntil = d.now + time.Duration(d.meanRun/4); e.Result == TimedOut ||
				e.Result == ConnectFailed { // probes don't queue behind jobs
				if z.silentShare += (1 - z.silentShare) / 6; z.silentShare > 0.5 {
					z.silentAt = d.now
				}
				d.setSuspect(w, true)
			}
		}
	}
	d.sweep()
	return d.actions
}

// jobArrived estimates the job's size, sets its deadline and probes for it, or places it at once.
func (d *Dispatcher) jobArrived(e *Event) {
	c, f := &d.cfg.Classes[e.Class], &d.estimators[e.Class]
	j := &job{id: e.Job, class: e.Class, slots: max(e.Slots, 1), arrived: d.now,
		hint: cmp.Or(max(float64(e.Size), 0), max(math.Exp(f.meanHint), 1e6))} // no hint: the class's mean
	d.jobs[j.id], d.maxBudget[j.class] = j, max(d.maxBudget[j.class], e.Budget)
	f.observeHint(math.Log(j.hint))
	j.size, j.coldSize = f.size(j.hint), j.hint*min(1, 10-f.runs)
	// A retry has used part of its client's time. A budget less by over two advised waits is not a retry's.
	spent := max(0, d.maxBudget[j.class]-e.Budget-e.Waited) // the client asked for e.Waited itself
	if !e.Retry && spent > 2*d.cfg.MaxRetryAfter+500*time.Millisecond {
		spent = 0
	}
	j.due = d.now + min(e.Budget, c.OnTime+time.Duration(c.Stretch*j.size)-spent)
	if j.value = c.Worth; d.cfg.WorthByWork {
		j.value *= j.size
	}
	d.meanWorth, d.meanRun = cmp.Or(d.meanWorth, j.value), cmp.Or(d.meanRun, j.size)
	d.meanWorth += (j.value - d.meanWorth) * 0.02
	d.freeShare += (1 - d.freeShare) / 100 // without reports, probing resumes in time
	d.meanGap, d.lastArrival = d.meanGap+(float64(d.now-cmp.Or(d.lastArrival, d.now))-d.meanGap)/20, d.now
	if d.moveBound(j.size); d.ranges > 1 && j.size > d.sizeBound {
		j.firstList = 2
	}
	d.probeFirst(j)
}

// attemptEvent handles an event of an attempt in flight.
func (d *Dispatcher) attemptEvent(e *Event, a *attempt) {
	j, w := a.job, a.w
	if e.Kind == AttemptEnded && e.Result == OK {
		w.errs = max(0, w.errs-1)
	}
	if e.Kind != AttemptEnded || e.Result == OK || e.Result == Full {
		d.setSuspect(w, false)
	}
	if a.lastEvent = d.now; e.Kind == JobStarted && a.started == 0 {
		d.observeStart(a)
	}
	if e.Kind != AttemptEnded {
		return
	}
	a.done, j.inFlight, j.closed = true, j.inFlight-1, j.closed || e.Finished
	if j.mayRun == a && e.Result.NeverRan() {
		j.mayRun = nil // it never ran, and no other attempt was in flight with it
	}
	d.applyLoad(w, e)
	w.inFlight = slices.DeleteFunc(w.inFlight, func(o *attempt) bool { return o == a })
	switch e.Result {
	case OK:
		if d.measureRun(a); d.cfg.KeepLanes && a.started > 0 && d.freeShare < 0.5 && w.Zone == d.cfg.Zone {
			w.reportAt, w.busy, w.busyAt = d.now, max(w.busy, float64(w.lanes-len(w.inFlight)-1)), d.now
		}
	case Full:
		w.lanes, w.wait, w.waitAt = max(1, w.lanes-1), max(w.wait-float64(d.now-w.waitAt), d.meanRun), d.now
		d.observeDelay(w, 4*d.meanRun)
	case AppError: // a worker that fails jobs looks idle: only successful jobs clear it
		w.errs = min(w.errs+2, 4)
		d.setSuspect(w, true)
	case ConnectFailed, ConnectionLost:
		j.lostOnCold = j.lostOnCold || d.speedAt(w, d.now) < w.speed // maybe because of it
		d.setSuspect(w, true)
	case Cancelled: // to move it to another worker
		if a.started == 0 {
			d.observeDelay(w, 2*float64(d.now-a.sent))
		}
	}
	if e.Result == Rejected && !j.closed {
		d.finish(j)
	} else if j.closed {
		d.close(j)
	} else if j.inFlight == 0 {
		d.place(j)
	}
}

func (d *Dispatcher) updateList(e *Event) {
	if d.listFailures = 0; e.Stale { // after a restart: spreads the requests of hundreds of schedulers
		d.watchAt = d.now + time.Duration(d.rng.Float64()*float64(min(d.cfg.Replicas, 500))*5e6)
	}
	for _, w := range d.ready {
		w.listed = !e.Whole
	}
	for _, l := range e.Workers {
		l.Kind = min(max(l.Kind, 0), d.cfg.Kinds-1)
		w := d.workers[l.ID]
		if w == nil {
			w = &worker{speed: math.Exp(d.logSpeed[l.Kind]), lanes: 1, rank: d.rank(&l)}
			d.workers[l.ID] = w
		}
		if w.Since != l.Since {
			w.suspect, w.aliveAt = false, d.now
		}
		w.Worker, w.listed = l, l.State == Ready
		if at, old := slices.BinarySearchFunc(d.ready, l.ID, byID); w.listed && !old {
			d.ready = slices.Insert(d.ready, at, w)
		}
	}
	d.ready = slices.DeleteFunc(d.ready, func(w *worker) bool { return !w.listed })
	d.rebuildLists() // sweep moves the jobs held for workers that left
}

// sweep ends waits for probes, moves jobs, marks silent workers suspect, releases jobs and sets one timer.
func (d *Dispatcher) sweep() {
	waiting := d.probing
	d.wakeAt, d.probing = never, nil
	if d.cfg.Ask && !d.watching && d.now >= d.watchAt {
		d.watching, d.actions = true, append(d.actions, Action{Kind: Watch})
	} else if d.cfg.Ask && !d.watching {
		d.wakeAt = d.watchAt
	}
	for _, j := range waiting {
		if !j.closed && j.pending > 0 && d.now < j.probeDeadline {
			d.wakeAt, d.probing = min(d.wakeAt, j.probeDeadline), append(d.probing, j)
		} else if j.pending = 0; !j.closed && j.inFlight == 0 && j.heldFor == nil {
			d.place(j) // which may probe again
		}
	}
	for _, w := range d.active {
		for _, a := range w.inFlight {
			took := float64(d.now - a.sent - w.latency)
			if d.cfg.TellsStart && a.idleLane && a.started == 0 && !a.delayCounted && took > d.meanRun/2 {
				a.delayCounted = true // expect it to wait as long again
				d.observeDelay(w, 2*took)
			}
			if due := d.moveTime(a); d.now < due {
				d.wakeAt = min(d.wakeAt, due)
			} else if a.job.inFlight == 1 && d.canMove(a) {
				d.actions = append(d.actions, Action{Kind: Cancel, Job: a.job.id, Attempt: a.index})
			}
			due := a.sent + a.timeout
			if a.started > 0 || !d.cfg.TellsStart {
				due = max(a.sent, a.started) + a.timeout + time.Duration(3*a.job.size/d.speedAt(w, d.now))
			}
			if d.now < due {
				d.wakeAt = min(d.wakeAt, due)
			} else if w.aliveAt < a.sent && !w.suspect {
				d.setSuspect(w, true)
			}
		}
	}
	for i := 0; i < len(d.active); i++ { // d.active grows when a job moves
		d.release(d.active[i], true)
	}
	d.active = slices.DeleteFunc(d.active, func(w *worker) bool {
		w.active = len(w.inFlight)+len(w.held) > 0
		return !w.active
	})
	d.wakeAt = max(d.wakeAt, d.now+time.Millisecond)
	if d.wakeAt < never && (d.timerAt <= d.now || d.wakeAt < d.timerAt) {
		d.timer, d.timerAt = d.timer+1, d.wakeAt
		d.actions = append(d.actions, Action{Kind: Timer, After: d.wakeAt - d.now, Timer: d.timer})
	}
}

// finish is the only function that answers a job: it refuses if a repeat is harmless, else it fails the job.
func (d *Dispatcher) finish(j *job) {
	if j.mayRun == nil || d.cfg.Classes[j.class].Harmless() {
		d.actions = append(d.actions, Action{Kind: Refuse, Job: j.id, After: d.cfg.MaxRetryAfter})
	} else {
		d.actions = append(d.actions, Action{Kind: Fail, Job: j.id})
	}
	d.close(j)
}

func (d *Dispatcher) close(j *job) {
	if j.heldFor != nil {
		j.heldFor.held = slices.DeleteFunc(j.heldFor.held, func(h *job) bool { return h == j })
	}
	if j.closed = true; j.inFlight == 0 {
		delete(d.jobs, j.id)
	}
}
