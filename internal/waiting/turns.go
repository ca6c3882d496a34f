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
	turns, unsent, sendsOut        int // jobs in their turn; those of them not sent yet; sends in progress, fresh jobs included
	window                         int
	adaptiveWindow, slowStartLimit float64       // window without the floor; size above which it grows linearly
	floor, lanes                   float64       // as last computed; lanes that turns may use because of the floor alone
	demand                         float64       // jobs per second that the due times require
	demandComputedAt               time.Duration // when demand was last computed
	demandStale                    bool          // jobs have become ready since
	meanTurn, meanRun              float64       // mean length of a turn, and of its part after the send, in seconds
	sent, sentFresh                uint64        // first sends of turns, and of fresh jobs
	freshRefusedAt, halvedAt       time.Duration // when a fresh job was last refused; when the window was last halved
	pausedUntil, nextPause         time.Duration // no turn begins before; length of the next pause
}

const (
	maxTurnsPerTick      = 32
	maxUnsent            = 4                      // turns not sent yet; above this, lanes are short and the window does not grow
	growthHoldOff        = time.Second            // no growth this soon after a fresh job was refused
	minHalvingInterval   = 250 * time.Millisecond // between halvings of the window
	promptSend           = 50 * time.Millisecond  // a job sent this soon after its turn began found a free lane
	minPause             = 2 * time.Millisecond   // after a refusal whose job was queued again
	maxPause             = 50 * time.Millisecond
	minBackoff           = 10 * time.Millisecond // until a refused job is retried
	maxBackoff           = 2 * time.Second
	demandInterval       = 100 * time.Millisecond
	maxDemandSample      = 1 << 16          // ready jobs that are examined at most
	demandIntervalPerJob = time.Microsecond // added for each ready job, to keep the cost of the computation small
	demandMargin         = 1.25
)

func newPacer() pacer {
	return pacer{adaptiveWindow: maxUnsent, slowStartLimit: math.Inf(1), meanTurn: 1, meanRun: 1, nextPause: minPause}
}

// releaseReady starts the turns of ready jobs, the one with the earliest target time first.
func (q *Queue) releaseReady(now time.Duration) {
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
		a := Action{Kind: Release, Attempts: int(e.attempts), Job: Job{Number: e.number, Name: e.name, Class: int(e.class),
			Tenant: int(e.tenant), Size: e.size, Slots: int(e.slots), Arrived: now, Attached: e.has(attached)}}
		if e.has(attached) { // its deadline is its client's, and it waited at its own request
			a.Job.Arrived, a.Budget, a.Waited = e.arrived, e.deadline-e.arrived, now-e.arrived
		} else {
			a.Budget = q.turnBudget(int(e.class))
		}
		q.emit(a)
	}
}

// turnBudget returns the time that a job without a client gets for one turn. It is the longest budget that a client has
// set, because the decision module takes the longest budget it has seen as the full time that a client waits.
func (q *Queue) turnBudget(class int) time.Duration {
	if class < len(q.longestBudget) && q.longestBudget[class] > 0 {
		return q.longestBudget[class]
	}
	if class < len(q.fleet.Classes) {
		return q.fleet.Classes[class].Deadline
	}
	return q.limits.DefaultDue
}

// mayRelease reports whether another job may begin its turn now.
func (q *Queue) mayRelease(now time.Duration) bool {
	p := &q.pacer
	switch {
	case q.ready.len() == 0 || now < p.pausedUntil || p.turns >= p.window:
		return false
	case float64(p.turns) >= p.floor:
		return p.unsent < maxUnsent
	}
	return float64(p.turns) < p.adaptiveWindow || float64(p.turns-p.unsent) < p.lanes
}

// updateWindow computes the floor and the window. It examines single jobs only when it recomputes the demand, which
// happens less often the longer the backlog is.
func (q *Queue) updateWindow(now time.Duration) {
	p := &q.pacer
	wait := demandInterval + time.Duration(q.ready.len())*demandIntervalPerJob
	if p.demandComputedAt == 0 || now-p.demandComputedAt >= wait || p.demandStale && now-p.demandComputedAt >= wait/4 {
		p.demand, p.demandComputedAt, p.demandStale = q.requiredRate(now), now, false
	}
	share := q.limits.Share
	// The number of sends in progress shows how many lanes there are when it matters, that is when all are taken. A
	// turn may also wait for a lane in the decision module; by Little's law, keeping a share of the lanes then takes
	// proportionally more turns.
	p.lanes = max(1, share*max(float64(q.hosts)/float64(max(q.fleet.Replicas, 1)), float64(p.sendsOut)))
	p.floor, p.window = q.windowRule(p, p.lanes*max(1, p.meanTurn/p.meanRun))
}

// demandRule is the rule in use, see pacer.
func demandRule(p *pacer, most float64) (floor float64, window int) {
	floor = max(1, min(most, p.demand*p.meanTurn*demandMargin))
	return floor, int(math.Ceil(max(floor, p.adaptiveWindow)))
}

// requiredRate returns the rate in jobs per second at which the ready jobs must be sent so that each is sent by its due
// time: the slope of the steepest line from now to any point of their demand curve. Remaining times are sorted into
// bins a quarter of an octave wide, and each counts as the lower edge of its bin.
func (q *Queue) requiredRate(now time.Duration) float64 {
	const least = 100 * time.Millisecond
	var bins [256]int
	count := func(target time.Duration, jobs int) {
		left := uint64(max(target-now, least))
		n := bits.Len64(left)
		bins[n*4+int(left>>(n-3))&3] += jobs
	}
	// A large heap is sampled: one in step jobs stands for step jobs.
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

// nextRelease returns when a ready job may begin its turn if nothing else happens.
func (q *Queue) nextRelease(now time.Duration) (time.Duration, bool) {
	p := &q.pacer
	if q.ready.len() == 0 {
		return 0, false
	}
	if now < p.pausedUntil && p.turns < p.window {
		return p.pausedUntil, true
	}
	if q.mayRelease(now) {
		return now, true // the limit of turns per Tick was reached
	}
	return max(p.demandComputedAt+demandInterval+time.Duration(q.ready.len())*demandIntervalPerJob, now+time.Millisecond), true
}

// JobSent records that a job was sent to a host.
func (q *Queue) JobSent(now time.Duration, number uint64) {
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
	if now-e.entered <= promptSend && now-p.freshRefusedAt > growthHoldOff && 2*float64(p.turns) >= p.adaptiveWindow { // the window is in use
		if p.adaptiveWindow < p.slowStartLimit {
			p.adaptiveWindow++
		} else {
			p.adaptiveWindow += 1 / p.adaptiveWindow
		}
	}
}

// SendEnded records the outcome of a send. The first OK ends the job.
func (q *Queue) SendEnded(now time.Duration, number uint64, o Outcome, result []byte) {
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
	case MayHaveRun:
		e.flags |= mayHaveRun
	case Rejected:
		e.flags |= mayHaveRun | rejected
	}
	if e.sendsOut > 0 {
		return
	}
	if e.has(clientGone) {
		q.finishAbandoned(now, i)
	} else if o == NeverRan && !e.has(fresh|mayHaveRun) {
		q.record(now, e, Record{Kind: NotRun})
		q.armDeadline(i) // it waits for the decision module to send it once more
	}
}

// finishAbandoned ends a job whose client has left and of which no send is in progress.
func (q *Queue) finishAbandoned(now time.Duration, i uint32) {
	if q.entries.at(i).has(mayHaveRun) {
		q.finish(now, i, Failed, StatusFailed, "", false)
		return
	}
	q.finish(now, i, Cancelled, StatusCancelled, "", false)
}

// JobRefused records that the decision module refused a job. If it returns true, the job is queued again for another turn
// and the refusal must not be passed on. This is safe if no send may have run or the class is safe to repeat.
func (q *Queue) JobRefused(now time.Duration, number uint64) bool {
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

// backoffDelay returns how long a refused job is held back. The delay shrinks as the job approaches its latest time.
func (q *Queue) backoffDelay(now time.Duration, e *entry) time.Duration {
	return min(max((e.ready+maxWaitFactor*e.due()-now)/32, minBackoff), maxBackoff)
}

// endTurn ends a job's turn, if it has one.
func (q *Queue) endTurn(now time.Duration, i uint32, to State) {
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

// JobFailed records that the decision module failed a job.
func (q *Queue) JobFailed(now time.Duration, number uint64) {
	if i := q.active[number]; i != 0 {
		q.finish(now, i, Failed, StatusFailed, "", false)
	}
}

// ClientLeft records that the client of a job has left. If it returns true, the decision module must be notified.
func (q *Queue) ClientLeft(now time.Duration, number uint64) bool {
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
