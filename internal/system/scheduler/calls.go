package scheduler

import (
	"time"

	"gaugeslip/internal/system/workerapi"
)

// CallKind tells what a call orders.
type CallKind uint8

// The kinds of call.
const (
	CallStart CallKind = iota
	CallStop
	CallHold
)

// Call is one call to a worker; exactly the order that Kind names is set.
type Call struct {
	// ID comes back in the call's CallResult.
	ID      uint64
	Kind    CallKind
	Worker  workerapi.Worker
	Start   workerapi.StartOrder
	Stop    workerapi.StopOrder
	Hold    workerapi.HoldOrder
	Timeout time.Duration
}

// CallResult is the answer to a call or its failure. For starts and stops only the reply's Outcome and ClockMs count.
type CallResult struct {
	ID    uint64
	Reply workerapi.HoldReply
}

// Answers are waited for a few times as long as they usually take, within bounds. A hold has its wait besides.
const (
	minTimeout = 120 * time.Millisecond
	maxTimeout = 700 * time.Millisecond
	// timeoutFactor is how many times the mean answer time a call waits; meanSamples is over how many answers that mean goes.
	timeoutFactor = 8
	meanSamples   = 24
	// maxMeanForLoss is up to which mean answer time a missing answer counts as lost: beyond it, this replica or the way is slow itself, and
	// more calls would make that worse.
	maxMeanForLoss = 25 * time.Millisecond
	// slowMargin is by how much the mean answer may take longer than the quickest of late; baselineSamples is over how many answers that one
	// is forgotten.
	slowMargin      = 25 * time.Millisecond
	baselineSamples = 4096
	// hedgeDivisor is after which part of its time-out a start is sent a second time.
	hedgeDivisor = 4
	// initialMean is the mean before anything was measured.
	initialMean = 30 * time.Millisecond
)

// callLatency is what was learnt of how long workers take to answer, and whether answers are lost on their way.
type callLatency struct {
	mean time.Duration
	// baseline is how long the way takes at least, as the quickest of late show.
	baseline time.Duration
	// lossyUntil is how long answers are taken to be lost now and then, though the workers are there.
	lossyUntil time.Duration
}

// lossyFor is how long one lost answer counts.
const lossyFor = 4 * time.Second

// observe takes in how long an answer took.
func (a *callLatency) observe(took time.Duration) {
	if a.mean == 0 {
		a.mean = initialMean
	}
	a.mean += (took - a.mean) / meanSamples
	if a.baseline == 0 || took < a.baseline {
		a.baseline = took
		return
	}
	a.baseline += (took - a.baseline) / baselineSamples
}

// slow tells whether answers take clearly longer than the way does: this replica has more to do than it gets done, and more calls would make
// that worse.
func (a *callLatency) slow() bool { return a.mean-a.baseline > slowMargin }

// timeout is how long a call waits for its answer.
func (a *callLatency) timeout() time.Duration {
	mean := a.mean
	if mean == 0 {
		mean = initialMean
	}
	return min(max(timeoutFactor*mean, minTimeout), maxTimeout)
}

// hedgeDelay is after how long without an answer a start is sent once more.
func (a *callLatency) hedgeDelay() time.Duration { return a.timeout() / hedgeDivisor }

// lossy tells whether answers are lost now and then.
func (s *Scheduler) lossy() bool { return s.now < s.latency.lossyUntil }

// callUnanswered takes note of a call without an answer; if its worker has answered another call since, the answer was lost.
func (s *Scheduler) callUnanswered(ended *call) {
	if ended.worker.answeredAt > ended.sentAt {
		s.noteLostAnswer()
	}
}

// noteLostAnswer takes note of a lost answer, unless answers are slow altogether.
func (s *Scheduler) noteLostAnswer() {
	if s.latency.mean < maxMeanForLoss {
		s.latency.lossyUntil = s.now + lossyFor
	}
}

// callAnswered takes note of a worker's answer to a call that wasn't to wait.
func (s *Scheduler) callAnswered(ended *call) {
	ended.worker.answeredAt = s.now
	if ended.kind != CallHold {
		s.latency.observe(s.now - ended.sentAt)
	}
	if ended.kind == CallStart {
		s.startLimiter.adapt(s.now, &s.latency)
	}
}

// call is a call that is out.
type call struct {
	id        uint64
	kind      CallKind
	worker    *worker
	run       *run // of a start or a stop
	sentAt    time.Duration
	firstHold bool // it is a look at a worker that has answered nothing yet
}

// reservedCalls are left for starts and stops when workers are asked twice.
const reservedCalls = 256

// hasSpareCalls tells whether there is room for calls that could be done without.
func (s *Scheduler) hasSpareCalls() bool {
	return s.maxCalls == 0 || len(s.calls)+reservedCalls < s.maxCalls
}

// send puts a call out.
func (s *Scheduler) send(made Call, w *worker, r *run) uint64 {
	s.lastCallID++
	made.ID = s.lastCallID
	made.Worker = w.identity
	first := made.Kind == CallHold && w.reach == reachUnheard
	if first {
		s.firstHolds.inFlight++
	}
	s.calls[made.ID] = &call{id: made.ID, kind: made.Kind, worker: w, run: r, sentAt: s.now, firstHold: first}
	s.newCalls = append(s.newCalls, made)
	return made.ID
}
