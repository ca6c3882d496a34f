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
	turns, unsent, sendsOut        int // turns; those not sent yet; sends that are out, of fresh jobs too
	window                         int
	adaptiveWindow, slowStartLimit float64       // window without the floor; where it ceases to double
	floor, lanes                   float64       // as last computed; and lanes that turns may take by the floor alone
	demand                         float64       // jobs a second that the due times ask for
	demandComputedAt               time.Duration // computed last
	demandStale                    bool          // jobs have become ready since
	meanTurn, meanRun              float64       // mean length of a turn, and of the part of it that is spent out, in seconds
	sent, sentFresh                uint64        // first sends of turns, and of fresh jobs
	freshRefusedAt, halvedAt       time.Duration // a fresh job was refused; the window was halved
	pausedUntil, nextPause         time.Duration // no turn before; and the next pause's length
}

const (
	maxTurnsPerTick      = 32
	maxUnsent            = 4                      // turns not sent: beyond, lanes are short and no window grows
	growthHoldOff        = time.Second            // since a fresh job was refused
	minHalvingInterval   = 250 * time.Millisecond // the window is halved
	promptSend           = 50 * time.Millisecond  // a send so soon after its turn began met a free lane
	minPause             = 2 * time.Millisecond   // after a refusal that was taken back
	maxPause             = 50 * time.Millisecond
	minBackoff           = 10 * time.Millisecond // until a refused job tries again
	maxBackoff           = 2 * time.Second
	demandInterval       = 100 * time.Millisecond
	maxDemandSample      = 1 << 16          // ready jobs looked at for it
	demandIntervalPerJob = time.Microsecond // added for each ready job, so that the count stays a small part of the time
	demandMargin         = 1.25
)

func newPacer() pacer {
	return pacer{adaptiveWindow: maxUnsent, slowStartLimit: math.Inf(1), meanTurn: 1, meanRun: 1, nextPause: minPause}
}

// releaseReady gives jobs their turn, the one that is to go out earliest first.
func (q *Room) releaseReady(now time.Duration) {
	p := &q.pacer
	if q.ready.len() == 0 {
		return
	}
	q.updateWindow(now)
	for range maxTurnsPerTick {
		if !q.mayRelease(now) {
			return
		}
		i, _ := q.ready.due(math.MaxInt64)
		q.ready.remove(i)
		e := q.entries.at(i)
		e.state, e.entered = Released, now
		e.flags |= unsent
		p.turns++
		p.unsent++
		q.stats.Turns++
		a := Action{Kind: Release, Tried: int(e.attempts), Job: Job{Number: e.number, Name: e.name, Class: int(e.class),
			Tenant: int(e.tenant), Size: e.size, Slots: int(e.slots), Arrived: now, Attached: e.has(attached)}}
		if e.has(attached) { // its deadline is its client's; the wait was its own wish
			a.Job.Arrived, a.Budget, a.Waited = e.arrived, e.deadline-e.arrived, now-e.arrived
		} else {
			a.Budget = q.turnBudget(int(e.class))
		}
		q.emit(a)
	}
}

// turnBudget is the time that a job without a client is given for one turn: as much as clients bring themselves, since the
// module takes the longest it has seen for a client's whole patience.
func (q *Room) turnBudget(class int) time.Duration {
	if class < len(q.longestBudget) && q.longestBudget[class] > 0 {
		return q.longestBudget[class]
	}
	if class < len(q.fleet.Classes) {
		return q.fleet.Classes[class].Deadline
	}
	return q.limits.DefaultDue
}

// mayRelease tells whether another job may have its turn now.
func (q *Room) mayRelease(now time.Duration) bool {
	p := &q.pacer
	switch {
	case q.ready.len() == 0 || now < p.pausedUntil || p.turns >= p.window:
		return false
	case float64(p.turns) >= p.floor:
		return p.unsent < maxUnsent
	}
	return float64(p.turns) < p.adaptiveWindow || float64(p.turns-p.unsent) < p.lanes
}

// updateWindow finds the floor and the window. Nothing here looks at a job alone: an hour's backlog costs no more than
// the count of it now and then.
func (q *Room) updateWindow(now time.Duration) {
	p := &q.pacer
	wait := demandInterval + time.Duration(q.ready.len())*demandIntervalPerJob
	if p.demandComputedAt == 0 || now-p.demandComputedAt >= wait || p.demandStale && now-p.demandComputedAt >= wait/4 {
		p.demand, p.demandComputedAt, p.demandStale = q.requiredRate(now), now, false
	}
	share := q.limits.Share
	// What is out tells how many lanes there are when it matters, when all are taken. Before a lane a turn may wait in
	// the module: by Little's law it takes more turns, by as much, to keep a share of the lanes.
	p.lanes = max(1, share*max(float64(q.hosts)/float64(max(q.fleet.Replicas, 1)), float64(p.sendsOut)))
	p.floor, p.window = q.windowRule(p, p.lanes*max(1, p.meanTurn/p.meanRun))
}

// demandRule is the rule that is in use: see pacer.
func demandRule(p *pacer, most float64) (floor float64, window int) {
	floor = max(1, min(most, p.demand*p.meanTurn*demandMargin))
	return floor, int(math.Ceil(max(floor, p.adaptiveWindow)))
}

// requiredRate is the rate in jobs a second at which the ready jobs have to go out so that each does by its due time: the
// steepest line from now to any point of their demand curve. Times left are sorted into bins a quarter of an octave
// wide, and taken for the lower edge of theirs.
func (q *Room) requiredRate(now time.Duration) float64 {
	const least = 100 * time.Millisecond
	var bins [256]int
	count := func(target time.Duration, jobs int) {
		left := uint64(max(target-now, least))
		n := bits.Len64(left)
		bins[n*4+int(left>>(n-3))&3] += jobs
	}
	// Of very many a sample does: one in step of them stands for as many.
	step := uint32(q.ready.len()/maxDemandSample + 1)
	for k := uint32(0); k < uint32(q.ready.len()); k += step {
		count(q.ready.nodes.at(k).at, int(step))
	}
	for k := range uint32(q.backoff.len()) {
		e := q.entries.at(q.backoff.nodes.at(k).entry)
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

// nextRelease is when a ready job may have its turn though nothing happens.
func (q *Room) nextRelease(now time.Duration) (time.Duration, bool) {
	p := &q.pacer
	if q.ready.len() == 0 {
		return 0, false
	}
	if now < p.pausedUntil && p.turns < p.window {
		return p.pausedUntil, true
	}
	if q.mayRelease(now) {
		return now, true // a Tick's turns were used up
	}
	return max(p.demandComputedAt+demandInterval+time.Duration(q.ready.len())*demandIntervalPerJob, now+time.Millisecond), true
}

// Sent tells that a job has gone out to a host.
func (q *Room) Sent(now time.Duration, number uint64) {
	i := q.active[number]
	if i == 0 {
		return
	}
	e, p := q.entries.at(i), &q.pacer
	e.sendsOut++
	p.sendsOut++
	e.attempts++
	e.sent = now
	q.record(now, e, Record{Kind: MayRun, Attempts: int(e.attempts)})
	q.deadlines.remove(i)
	if !e.has(unsent) {
		return
	}
	e.flags &^= unsent
	if e.has(fresh) {
		p.sentFresh++
		return
	}
	p.sent++
	p.unsent--
	p.pausedUntil, p.nextPause = 0, minPause
	waited := float64(now-e.ready) / float64(e.due())
	q.stats.Longest = max(q.stats.Longest, waited)
	if waited > 1 {
		q.stats.Overdue++
	}
	if now-e.entered <= promptSend && now-p.freshRefusedAt > growthHoldOff && 2*float64(p.turns) >= p.adaptiveWindow { // it is in use
		if p.adaptiveWindow < p.slowStartLimit {
			p.adaptiveWindow++
		} else {
			p.adaptiveWindow += 1 / p.adaptiveWindow
		}
	}
}

// Ended tells how a send ended. The first OK ends the job.
func (q *Room) Ended(now time.Duration, number uint64, o Outcome, result []byte) {
	q.pacer.pausedUntil = min(q.pacer.pausedUntil, now) // a lane may be free
	i := q.active[number]
	if i == 0 {
		return
	}
	e := q.entries.at(i)
	if e.sendsOut > 0 {
		e.sendsOut--
		q.pacer.sendsOut--
	}
	switch o {
	case OK:
		q.storeResult(e, result)
		q.finish(now, i, Served, StatusServed, "", false)
		return
	case MayHave:
		e.flags |= mayHaveRun
	case TurnedOff:
		e.flags |= mayHaveRun | rejected
	}
	if e.sendsOut > 0 {
		return
	}
	if e.has(clientGone) {
		q.finishAbandoned(now, i)
	} else if o == NeverRan && !e.has(fresh|mayHaveRun) {
		q.record(now, e, Record{Kind: NotRun})
		q.armDeadline(i) // it waits again, for the module to send it once more
	}
}

// finishAbandoned ends a job that nobody waits for and of which no send is out.
func (q *Room) finishAbandoned(now time.Duration, i uint32) {
	if q.entries.at(i).has(mayHaveRun) {
		q.finish(now, i, Failed, StatusFailed, "", false)
		return
	}
	q.finish(now, i, Cancelled, StatusCancelled, "", false)
}

// Refused tells that the module has refused a job. True: the refusal is taken back, and the job gets another turn.
// That is harmless where no send may have run, or the class is safe to repeat.
func (q *Room) Refused(now time.Duration, number uint64) bool {
	i := q.active[number]
	if i == 0 {
		return false
	}
	e, p := q.entries.at(i), &q.pacer
	if e.has(fresh) {
		p.freshRefusedAt = now
		if now-p.halvedAt >= minHalvingInterval {
			p.halvedAt, p.adaptiveWindow = now, max(1, p.adaptiveWindow/2)
			p.slowStartLimit = p.adaptiveWindow
		}
		q.finish(now, i, Refused, StatusRefused, "", false)
		return false
	}
	back := q.backoffDelay(now, e)
	latest := e.ready + maxWaitFactor*e.due()
	if e.has(attached) {
		latest = min(latest, e.deadline-answerMargin)
	}
	if q.closing && !e.has(attached) || e.has(rejected) || e.sendsOut > 0 || e.has(mayHaveRun) && !q.repeatable(e) ||
		int(e.attempts) >= q.fleet.MaxAttempts || now+back >= latest {
		q.finish(now, i, Refused, StatusRefused, "", false)
		return false
	}
	q.endTurn(now, i, Ready)
	e.state = Ready
	q.backoff.push(i, now+back)
	q.armDeadline(i)
	p.adaptiveWindow = max(1, min(p.adaptiveWindow, float64(p.turns)))
	p.slowStartLimit = p.adaptiveWindow
	p.pausedUntil = now + p.nextPause
	p.nextPause = min(2*p.nextPause, maxPause)
	q.stats.TurnsBack++
	return true
}

// backoffDelay is how long a refused job stands back: the less time it has, the sooner it tries again.
func (q *Room) backoffDelay(now time.Duration, e *entry) time.Duration {
	return min(max((e.ready+maxWaitFactor*e.due()-now)/32, minBackoff), maxBackoff)
}

// endTurn ends a turn, if the job has one.
func (q *Room) endTurn(now time.Duration, i uint32, to State) {
	e, p := q.entries.at(i), &q.pacer
	if e.state != Released {
		return
	}
	if e.has(fresh) {
		return
	}
	p.turns--
	if e.has(unsent) {
		e.flags &^= unsent
		p.unsent--
	}
	if to == Served {
		p.meanTurn += ((now - e.entered).Seconds() - p.meanTurn) / 16
		p.meanRun += (max(now-e.sent, time.Millisecond).Seconds() - p.meanRun) / 16
	}
}

// Failed tells that the module has failed a job.
func (q *Room) Failed(now time.Duration, number uint64) {
	if i := q.active[number]; i != 0 {
		q.finish(now, i, Failed, StatusFailed, "", false)
	}
}

// Left tells that the client of a job has gone. True: the module has to hear of it.
func (q *Room) Left(now time.Duration, number uint64) bool {
	i := q.active[number]
	if i == 0 {
		return true
	}
	e := q.entries.at(i)
	if e.state < Released {
		q.finish(now, i, Cancelled, StatusCancelled, "", false)
		return false
	}
	if e.sendsOut > 0 {
		e.flags |= clientGone
	} else {
		q.finishAbandoned(now, i)
	}
	return true
}
