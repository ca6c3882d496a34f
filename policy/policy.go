// The decisions. Their interface is in types.go (Config, Event, Action), what they remember in state.go.
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

// remap moves the bound of the two size ranges (one under ten workers) to where half of the work is below.
func (d *Dispatcher) remap(size float64) {
	d.bound = cmp.Or(d.bound, size)
	d.bound *= math.Exp(math.Copysign(0.05*min(size/d.meanRun, 4), size-d.bound))
}

// relist deals the workers out to their ranges, own zone and others, in this scheduler's order.
func (d *Dispatcher) relist() {
	d.near = [4][]*worker{}
	d.ranges = min(max(len(d.order)/5, 1), 2)
	for i, w := range d.order {
		part := 2 * (i * d.ranges / len(d.order))
		if w.place = w.rank; d.cfg.Replicas > keepers && d.keeps(w, keepers) && d.power(w, d.now) < w.speed {
			w.place = -1 / (1 + w.rank) // cold and for this scheduler: others stay away
		} else if w.Zone != d.cfg.Zone {
			part++
		}
		d.near[part] = append(d.near[part], w)
	}
	for _, list := range d.near {
		slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.place, b.place) })
	}
}

// rank is each scheduler's own lasting order of workers, by size: in a common one all would fill the same.
func (d *Dispatcher) rank(w *Worker) float64 {
	h := (uint64(w.ID)<<32 | uint64(uint32(d.cfg.Ordinal))) * 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return -math.Log(float64(h^h>>31)/(1<<64)) / max(w.Scale, 0.01)
}

// tries is how many workers of a list are looked at: few enough to be known, each by 2 or 3 jobs in 4 s.
func (d *Dispatcher) tries() int {
	return min(max(2, 2*len(d.order)/d.cfg.Replicas), max(1, int(8e8/d.gap)))
}

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
	found.held, j.on = append(found.held, j), found
	slices.SortStableFunc(found.held, func(a, b *job) int { return cmp.Compare(a.due, b.due) })
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
	at := 0 // the newcomer's place among the held
	for at < len(w.held) && w.held[at].due <= j.due {
		at++
	}
	for i := range len(w.held) + 1 {
		h := j
		if i != at {
			h = w.held[i-min(1, max(0, i-at))]
		}
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
	if a := j.mayRun; a != nil && c.Effect != Repeatable {
		if c.Effect == Unsafe || d.now >= a.sent+c.KeyTTL ||
			c.Group == GroupZone && a.w.Zone != w.Zone || c.Group == GroupCell && a.w.Cell != w.Cell {
			return false
		}
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

// keeps tells whether this scheduler is one of the few that share a worker, the same few for all who ask.
func (d *Dispatcher) keeps(w *worker, few int) bool {
	return (int(w.ID)+d.cfg.Ordinal)%d.cfg.Replicas < few
}

// send is the only way to a worker.
func (d *Dispatcher) send(j *job, w *worker) {
	a := &attempt{job: j, n: len(j.atts), w: w, sent: d.now,
		clean: len(w.out) < w.lanes, full: len(w.out)+1 >= w.lanes,
		patience: w.net + time.Duration(w.wait+3*d.meanRun+d.lag(w))}
	w.coldSent += max(j.size, j.bulk)
	d.spare = min(d.spare+d.cfg.Repeats, 1+d.cfg.Repeats) - float64(min(len(j.atts), 1))*(1+d.cfg.Repeats)
	j.atts, w.out = append(j.atts, a), append(w.out, a)
	j.out, j.mayRun = j.out+1, cmp.Or(j.mayRun, a)
	d.act = append(d.act, Action{Kind: Send, Job: j.id, Worker: w.ID})
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

// began learns from a start notice: what it waited beyond the way there is the backlog of peers.
func (d *Dispatcher) began(a *attempt) {
	w, running, took := a.w, 0, d.now-a.sent
	a.began = d.now
	w.net = min(cmp.Or(w.net, took), took)
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

// judge shuts a suspect worker or opens it at a sign of life. When it is shut, held jobs go elsewhere.
func (d *Dispatcher) judge(w *worker, bad bool) {
	if !bad && w.errs > 0 {
		w.seen = d.now
		return
	}
	if bad != w.suspect {
		verdict := map[bool]string{true: "suspected", false: "reopened"}[bad]
		d.act = append(d.act, Action{Kind: Log, Text: "worker " + verdict})
	}
	if w.suspect, w.trial = bad, d.now+2*time.Second; bad {
		d.pump(w, true)
	} else {
		w.seen = d.now
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

func byID(w *worker, id uint32) int { return cmp.Compare(w.ID, id) }

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

// sweep judges the silent, moves the hopeless, probes, releases what can go, and sets one timer.
func (d *Dispatcher) sweep() {
	d.wake = never
	if d.cfg.Ask && !d.watching {
		if d.wake = d.watchAt; d.now >= d.watchAt {
			d.watching, d.wake = true, never
			d.act = append(d.act, Action{Kind: Watch})
		}
	}
	waiting := d.asking
	d.asking = nil
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
