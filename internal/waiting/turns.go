package waiting

import (
	"math"
	"math/bits"
	"time"
)

// A turn is one visit of a job to the decision module, from Release to a final answer or a refusal that is taken back.

// pacer says how many jobs may have their turn at a time. See docs/design/waiting.md for what was weighed.
//
// While the fleet has room to spare, as many as the module takes: the window grows with each job that is sent at once,
// doubling at first, by one a window later, and is halved when a fresh job is refused, as TCP's does for a loss
// (Jacobson, Congestion Avoidance and Control, 1988). It never falls below the floor: what the ready jobs need to go
// out by their due times, but no more than the share of the fleet that the settings give them.
type pacer struct {
	in, unsent, out  int // turns; those not sent yet; sends that are out, of fresh jobs too
	window           int
	extra, slow      float64       // window without the floor; where it ceases to double
	floor, lanes     float64       // as last computed; and lanes that turns may take by the floor alone
	demand           float64       // jobs a second that the due times ask for
	demandAt         time.Duration // computed last
	stale            bool          // jobs have become ready since
	stay, run        float64       // mean length of a turn, and of the part of it that is spent out, in seconds
	sent, sentFresh  uint64        // first sends of turns, and of fresh jobs
	refusedAt, cutAt time.Duration // a fresh job was refused; the window was halved
	pause, pauseFor  time.Duration // no turn before; and the next pause's length
}

const (
	turnsATick  = 32
	unsentMost  = 4                      // turns not sent: beyond, lanes are short and no window grows
	calm        = time.Second            // since a fresh job was refused
	cutEvery    = 250 * time.Millisecond // the window is halved
	prompt      = 50 * time.Millisecond  // a send so soon after its turn began met a free lane
	pauseLeast  = 2 * time.Millisecond   // after a refusal that was taken back
	pauseMost   = 50 * time.Millisecond
	backLeast   = 10 * time.Millisecond // until a refused job tries again
	backMost    = 2 * time.Second
	demandEvery = 100 * time.Millisecond
	demandMost  = 1 << 16          // ready jobs looked at for it
	demandNode  = time.Microsecond // added for each ready job, so that the count stays a small part of the time
	needMargin  = 1.25
)

func newPacer() pacer {
	return pacer{extra: unsentMost, slow: math.Inf(1), stay: 1, run: 1, pauseFor: pauseLeast}
}

// release gives jobs their turn, the one that is to go out earliest first.
func (r *Room) release(now time.Duration) {
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
		a := Action{Kind: Release, Tried: int(e.attempts), Job: Job{Number: e.number, Name: e.name, Class: int(e.class),
			Tenant: int(e.tenant), Size: e.size, Slots: int(e.slots), Arrived: now, Attached: e.is(attached)}}
		if e.is(attached) { // its deadline is its client's; the wait was its own wish
			a.Job.Arrived, a.Budget, a.Waited = e.arrived, e.deadline-e.arrived, now-e.arrived
		} else {
			a.Budget = r.budget(int(e.class))
		}
		r.do(a)
	}
}

// budget is the time that a job without a client is given for one turn: as much as clients bring themselves, since the
// module takes the longest it has seen for a client's whole patience.
func (r *Room) budget(class int) time.Duration {
	if class < len(r.patience) && r.patience[class] > 0 {
		return r.patience[class]
	}
	if class < len(r.fleet.Classes) {
		return r.fleet.Classes[class].Deadline
	}
	return r.lim.DefaultDue
}

// mayTurn tells whether another job may have its turn now.
func (r *Room) mayTurn(now time.Duration) bool {
	p := &r.pace
	switch {
	case r.ready.len() == 0 || now < p.pause || p.in >= p.window:
		return false
	case float64(p.in) >= p.floor:
		return p.unsent < unsentMost
	}
	return float64(p.in) < p.extra || float64(p.in-p.unsent) < p.lanes
}

// setWindow finds the floor and the window. Nothing here looks at a job alone: an hour's backlog costs no more than
// the count of it now and then.
func (r *Room) setWindow(now time.Duration) {
	p := &r.pace
	wait := demandEvery + time.Duration(r.ready.len())*demandNode
	if p.demandAt == 0 || now-p.demandAt >= wait || p.stale && now-p.demandAt >= wait/4 {
		p.demand, p.demandAt, p.stale = r.need(now), now, false
	}
	share := r.lim.Share
	// What is out tells how many lanes there are when it matters, when all are taken. Before a lane a turn may wait in
	// the module: by Little's law it takes more turns, by as much, to keep a share of the lanes.
	p.lanes = max(1, share*max(float64(r.hosts)/float64(max(r.fleet.Replicas, 1)), float64(p.out)))
	p.floor, p.window = r.rule(p, p.lanes*max(1, p.stay/p.run))
}

// byNeed is the rule that is in use: see pacer.
func byNeed(p *pacer, most float64) (floor float64, window int) {
	floor = max(1, min(most, p.demand*p.stay*needMargin))
	return floor, int(math.Ceil(max(floor, p.extra)))
}

// need is the rate in jobs a second at which the ready jobs have to go out so that each does by its due time: the
// steepest line from now to any point of their demand curve. Times left are sorted into bins a quarter of an octave
// wide, and taken for the lower edge of theirs.
func (r *Room) need(now time.Duration) float64 {
	const least = 100 * time.Millisecond
	var bins [256]int
	count := func(target time.Duration, jobs int) {
		left := uint64(max(target-now, least))
		n := bits.Len64(left)
		bins[n*4+int(left>>(n-3))&3] += jobs
	}
	// Of very many a sample does: one in step of them stands for as many.
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

// nextTurn is when a ready job may have its turn though nothing happens.
func (r *Room) nextTurn(now time.Duration) (time.Duration, bool) {
	p := &r.pace
	if r.ready.len() == 0 {
		return 0, false
	}
	if now < p.pause && p.in < p.window {
		return p.pause, true
	}
	if r.mayTurn(now) {
		return now, true // a Tick's turns were used up
	}
	return max(p.demandAt+demandEvery+time.Duration(r.ready.len())*demandNode, now+time.Millisecond), true
}

// Sent tells that a job has gone out to a host.
func (r *Room) Sent(now time.Duration, number uint64) {
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
	if now-e.entered <= prompt && now-p.refusedAt > calm && 2*float64(p.in) >= p.extra { // it is in use
		if p.extra < p.slow {
			p.extra++
		} else {
			p.extra += 1 / p.extra
		}
	}
}

// Ended tells how a send ended. The first OK ends the job.
func (r *Room) Ended(now time.Duration, number uint64, o Outcome, result []byte) {
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
	case MayHave:
		e.flags |= maybe
	case TurnedOff:
		e.flags |= maybe | turnedOff
	}
	if e.out > 0 {
		return
	}
	if e.is(left) {
		r.gone(now, i)
	} else if o == NeverRan && !e.is(fresh|maybe) {
		r.note(now, e, Record{Kind: NotRun})
		r.arm(i) // it waits again, for the module to send it once more
	}
}

// gone ends a job that nobody waits for and of which no send is out.
func (r *Room) gone(now time.Duration, i uint32) {
	if r.all.at(i).is(maybe) {
		r.finish(now, i, Failed, StatusFailed, "", false)
		return
	}
	r.finish(now, i, Cancelled, StatusCancelled, "", false)
}

// Refused tells that the module has refused a job. True: the refusal is taken back, and the job gets another turn.
// That is harmless where no send may have run, or the class is safe to repeat.
func (r *Room) Refused(now time.Duration, number uint64) bool {
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

// backoff is how long a refused job stands back: the less time it has, the sooner it tries again.
func (r *Room) backoff(now time.Duration, e *entry) time.Duration {
	return min(max((e.ready+longWait*e.due()-now)/32, backLeast), backMost)
}

// leave ends a turn, if the job has one.
func (r *Room) leave(now time.Duration, i uint32, to State) {
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

// Failed tells that the module has failed a job.
func (r *Room) Failed(now time.Duration, number uint64) {
	if i := r.open[number]; i != 0 {
		r.finish(now, i, Failed, StatusFailed, "", false)
	}
}

// Left tells that the client of a job has gone. True: the module has to hear of it.
func (r *Room) Left(now time.Duration, number uint64) bool {
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
