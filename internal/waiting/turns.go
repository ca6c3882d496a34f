package waiting

import (
	"math"
	"math/bits"
	"time"
)

// A turn is one pass of a job through the decision module, from Release to its final answer or to a refusal after which
// the job is queued again.

// pacer decides how many jobs may be in their turn at a time. docs/design/waiting.md compares the alternatives.
//
// While the fleet has spare capacity, as many jobs are released as the decision module accepts: the window grows with
// each job that is sent promptly, at first exponentially, above slowStartLimit by one per window, and is halved when a
// fresh job is refused, as the congestion window of TCP is after a loss (Jacobson, Congestion Avoidance and Control,
// 1988). The window never falls below the floor: the number of turns that lets the ready jobs go out by their due
// times, limited to the share of the fleet that the settings grant them.
type pacer struct {
	in, unsent, out  int // jobs in their turn; those of them not sent yet; sends in progress, fresh jobs included
	window           int
	extra, slow      float64       // window without the floor; size above which it grows linearly
	floor, lanes     float64       // as last computed; lanes that turns may use because of the floor alone
	demand           float64       // jobs per second that the due times require
	demandAt         time.Duration // when demand was last computed
	stale            bool          // jobs have become ready since
	stay, run        float64       // mean length of a turn, and of its part after the send, in seconds
	sent, sentFresh  uint64        // first sends of turns, and of fresh jobs
	refusedAt, cutAt time.Duration // when a fresh job was last refused; when the window was last halved
	pause, pauseFor  time.Duration // no turn begins before; length of the next pause
}

const (
	turnsATick  = 32
	unsentMost  = 4                      // turns not sent yet; above this, lanes are short and the window does not grow
	calm        = time.Second            // no growth this soon after a fresh job was refused
	cutEvery    = 250 * time.Millisecond // between halvings of the window
	prompt      = 50 * time.Millisecond  // a job sent this soon after its turn began found a free lane
	pauseLeast  = 2 * time.Millisecond   // after a refusal whose job was queued again
	pauseMost   = 50 * time.Millisecond
	backLeast   = 10 * time.Millisecond // until a refused job is retried
	backMost    = 2 * time.Second
	demandEvery = 100 * time.Millisecond
	demandMost  = 1 << 16          // ready jobs that are examined at most
	demandNode  = time.Microsecond // added for each ready job, to keep the cost of the computation small
	needMargin  = 1.25
)

func newPacer() pacer {
	return pacer{extra: unsentMost, slow: math.Inf(1), stay: 1, run: 1, pauseFor: pauseLeast}
}

// releaseReady starts the turns of ready jobs, the one with the earliest target time first.
func (r *Queue) release(now time.Duration) {
	p := &r.pace
	if r.ready.len() == 0 {
		return
	}
	r.setWindow(now)
	for range turnsATick {
		if !r.mayTurn(now) {
			return
		}
		i, _ := r.ready.due(math.MaxInt64)
		r.ready.remove(i)
		e := r.all.at(i)
		e.state, e.entered = Released, now
		e.flags |= unsent
		p.in++
		p.unsent++
		r.stats.Turns++
		a := Action{Kind: Release, Attempts: int(e.attempts), Job: Job{Number: e.number, Name: e.name, Class: int(e.class),
			Tenant: int(e.tenant), Size: e.size, Slots: int(e.slots), Arrived: now, Attached: e.is(attached)}}
		if e.is(attached) { // its deadline is its client's, and it waited at its own request
			a.Job.Arrived, a.Budget, a.Waited = e.arrived, e.deadline-e.arrived, now-e.arrived
		} else {
			a.Budget = r.budget(int(e.class))
		}
		r.do(a)
	}
}

// turnBudget returns the time that a job without a client gets for one turn. It is the longest budget that a client has
// set, because the decision module takes the longest budget it has seen as the full time that a client waits.
func (r *Queue) budget(class int) time.Duration {
	if class < len(r.patience) && r.patience[class] > 0 {
		return r.patience[class]
	}
	if class < len(r.fleet.Classes) {
		return r.fleet.Classes[class].Deadline
	}
	return r.lim.DefaultDue
}

// mayRelease reports whether another job may begin its turn now.
func (r *Queue) mayTurn(now time.Duration) bool {
	p := &r.pace
	switch {
	case r.ready.len() == 0 || now < p.pause || p.in >= p.window:
		return false
	case float64(p.in) >= p.floor:
		return p.unsent < unsentMost
	}
	return float64(p.in) < p.extra || float64(p.in-p.unsent) < p.lanes
}

// updateWindow computes the floor and the window. It examines single jobs only when it recomputes the demand, which
// happens less often the longer the backlog is.
func (r *Queue) setWindow(now time.Duration) {
	p := &r.pace
	wait := demandEvery + time.Duration(r.ready.len())*demandNode
	if p.demandAt == 0 || now-p.demandAt >= wait || p.stale && now-p.demandAt >= wait/4 {
		p.demand, p.demandAt, p.stale = r.need(now), now, false
	}
	share := r.lim.Share
	// The number of sends in progress shows how many lanes there are when it matters, that is when all are taken. A
	// turn may also wait for a lane in the decision module; by Little's law, keeping a share of the lanes then takes
	// proportionally more turns.
	p.lanes = max(1, share*max(float64(r.hosts)/float64(max(r.fleet.Replicas, 1)), float64(p.out)))
	p.floor, p.window = r.rule(p, p.lanes*max(1, p.stay/p.run))
}

// demandRule is the rule in use, see pacer.
func byNeed(p *pacer, most float64) (floor float64, window int) {
	floor = max(1, min(most, p.demand*p.stay*needMargin))
	return floor, int(math.Ceil(max(floor, p.extra)))
}

// requiredRate returns the rate in jobs per second at which the ready jobs must be sent so that each is sent by its due
// time: the slope of the steepest line from now to any point of their demand curve. Remaining times are sorted into
// bins a quarter of an octave wide, and each counts as the lower edge of its bin.
func (r *Queue) need(now time.Duration) float64 {
	const least = 100 * time.Millisecond
	var bins [256]int
	count := func(target time.Duration, jobs int) {
		left := uint64(max(target-now, least))
		n := bits.Len64(left)
		bins[n*4+int(left>>(n-3))&3] += jobs
	}
	// A large heap is sampled: one in step jobs stands for step jobs.
	step := uint32(r.ready.len()/demandMost + 1)
	for k := uint32(0); k < uint32(r.ready.len()); k += step {
		count(r.ready.nodes.at(k).at, int(step))
	}
	for k := range uint32(r.again.len()) {
		e := r.all.at(r.again.nodes.at(k).of)
		count(e.ready+e.due(), 1)
	}
	steepest, sum := 0.0, 0
	for b, n := range bins {
		if sum += n; n > 0 {
			edge := float64(uint64(4+b%4)) * math.Ldexp(1, b/4-3)
			steepest = max(steepest, float64(sum)/edge*1e9)
		}
	}
	return steepest
}

// nextRelease returns when a ready job may begin its turn if nothing else happens.
func (r *Queue) nextTurn(now time.Duration) (time.Duration, bool) {
	p := &r.pace
	if r.ready.len() == 0 {
		return 0, false
	}
	if now < p.pause && p.in < p.window {
		return p.pause, true
	}
	if r.mayTurn(now) {
		return now, true // the limit of turns per Tick was reached
	}
	return max(p.demandAt+demandEvery+time.Duration(r.ready.len())*demandNode, now+time.Millisecond), true
}

// JobSent records that a job was sent to a host.
func (r *Queue) JobSent(now time.Duration, number uint64) {
	i := r.open[number]
	if i == 0 {
		return
	}
	e, p := r.all.at(i), &r.pace
	e.out++
	p.out++
	e.attempts++
	e.sent = now
	r.note(now, e, Record{Kind: MayRun, Attempts: int(e.attempts)})
	r.ends.remove(i)
	if !e.is(unsent) {
		return
	}
	e.flags &^= unsent
	if e.is(fresh) {
		p.sentFresh++
		return
	}
	p.sent++
	p.unsent--
	p.pause, p.pauseFor = 0, pauseLeast
	waited := float64(now-e.ready) / float64(e.due())
	r.stats.Longest = max(r.stats.Longest, waited)
	if waited > 1 {
		r.stats.Overdue++
	}
	if now-e.entered <= prompt && now-p.refusedAt > calm && 2*float64(p.in) >= p.extra { // the window is in use
		if p.extra < p.slow {
			p.extra++
		} else {
			p.extra += 1 / p.extra
		}
	}
}

// SendEnded records the outcome of a send. The first OK ends the job.
func (r *Queue) SendEnded(now time.Duration, number uint64, o Outcome, result []byte) {
	r.pace.pause = min(r.pace.pause, now) // a lane may be free
	i := r.open[number]
	if i == 0 {
		return
	}
	e := r.all.at(i)
	if e.out > 0 {
		e.out--
		r.pace.out--
	}
	switch o {
	case OK:
		r.keep(e, result)
		r.finish(now, i, Served, StatusServed, "", false)
		return
	case MayHaveRun:
		e.flags |= maybe
	case Rejected:
		e.flags |= maybe | turnedOff
	}
	if e.out > 0 {
		return
	}
	if e.is(left) {
		r.gone(now, i)
	} else if o == NeverRan && !e.is(fresh|maybe) {
		r.note(now, e, Record{Kind: NotRun})
		r.arm(i) // it waits for the decision module to send it once more
	}
}

// finishAbandoned ends a job whose client has left and of which no send is in progress.
func (r *Queue) gone(now time.Duration, i uint32) {
	if r.all.at(i).is(maybe) {
		r.finish(now, i, Failed, StatusFailed, "", false)
		return
	}
	r.finish(now, i, Cancelled, StatusCancelled, "", false)
}

// JobRefused records that the decision module refused a job. If it returns true, the job is queued again for another turn
// and the refusal must not be passed on. This is safe if no send may have run or the class is safe to repeat.
func (r *Queue) JobRefused(now time.Duration, number uint64) bool {
	i := r.open[number]
	if i == 0 {
		return false
	}
	e, p := r.all.at(i), &r.pace
	if e.is(fresh) {
		p.refusedAt = now
		if now-p.cutAt >= cutEvery {
			p.cutAt, p.extra = now, max(1, p.extra/2)
			p.slow = p.extra
		}
		r.finish(now, i, Refused, StatusRefused, "", false)
		return false
	}
	back := r.backoff(now, e)
	latest := e.ready + longWait*e.due()
	if e.is(attached) {
		latest = min(latest, e.deadline-lastCall)
	}
	if r.closing && !e.is(attached) || e.is(turnedOff) || e.out > 0 || e.is(maybe) && !r.repeatable(e) ||
		int(e.attempts) >= r.fleet.MaxAttempts || now+back >= latest {
		r.finish(now, i, Refused, StatusRefused, "", false)
		return false
	}
	r.leave(now, i, Ready)
	e.state = Ready
	r.again.push(i, now+back)
	r.arm(i)
	p.extra = max(1, min(p.extra, float64(p.in)))
	p.slow = p.extra
	p.pause = now + p.pauseFor
	p.pauseFor = min(2*p.pauseFor, pauseMost)
	r.stats.TurnsBack++
	return true
}

// backoffDelay returns how long a refused job is held back. The delay shrinks as the job approaches its latest time.
func (r *Queue) backoff(now time.Duration, e *entry) time.Duration {
	return min(max((e.ready+longWait*e.due()-now)/32, backLeast), backMost)
}

// endTurn ends a job's turn, if it has one.
func (r *Queue) leave(now time.Duration, i uint32, to State) {
	e, p := r.all.at(i), &r.pace
	if e.state != Released {
		return
	}
	if e.is(fresh) {
		return
	}
	p.in--
	if e.is(unsent) {
		e.flags &^= unsent
		p.unsent--
	}
	if to == Served {
		p.stay += ((now - e.entered).Seconds() - p.stay) / 16
		p.run += (max(now-e.sent, time.Millisecond).Seconds() - p.run) / 16
	}
}

// JobFailed records that the decision module failed a job.
func (r *Queue) JobFailed(now time.Duration, number uint64) {
	if i := r.open[number]; i != 0 {
		r.finish(now, i, Failed, StatusFailed, "", false)
	}
}

// ClientLeft records that the client of a job has left. If it returns true, the decision module must be notified.
func (r *Queue) ClientLeft(now time.Duration, number uint64) bool {
	i := r.open[number]
	if i == 0 {
		return true
	}
	e := r.all.at(i)
	if e.state < Released {
		r.finish(now, i, Cancelled, StatusCancelled, "", false)
		return false
	}
	if e.out > 0 {
		e.flags |= left
	} else {
		r.gone(now, i)
	}
	return true
}
