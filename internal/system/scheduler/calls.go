package scheduler

import (
	"time"

	"gaugeslip/internal/system/workerapi"
)

// CallKind is the kind of order that a call carries.
type CallKind uint8

// The kinds of call.
const (
	CallStart CallKind = iota
	CallStop
	CallHold
)

// Call is one call to a worker. Only the order that Kind names is set.
type Call struct {
	// ID identifies the call in its CallResult.
	ID      uint64
	Kind    CallKind
	Worker  workerapi.Worker
	Start   workerapi.StartOrder
	Stop    workerapi.StopOrder
	Hold    workerapi.HoldOrder
	Timeout time.Duration
}

// CallResult is the answer to a call or its failure. For starts and stops, only Outcome and ClockMs of the reply are used.
type CallResult struct {
	ID    uint64
	Reply workerapi.HoldReply
}

// A call times out after a multiple of the mean answer time, within bounds. A hold's own wait is added to that.
const (
	minTimeout = 120 * time.Millisecond
	maxTimeout = 700 * time.Millisecond
	// timeoutFactor is the multiple of the mean answer time after which a call times out; meanSamples is over how many answers that mean is
	// taken.
	timeoutFactor = 8
	meanSamples   = 24
	// maxMeanForLoss is the mean answer time up to which a missing answer counts as lost. Beyond it, this replica or the network is itself
	// slow, and more calls would make that worse.
	maxMeanForLoss = 25 * time.Millisecond
	// slowMargin is by how much the mean answer time may exceed the baseline; baselineSamples is over how many answers the baseline rises
	// to a longer time.
	slowMargin      = 25 * time.Millisecond
	baselineSamples = 4096
	// hedgeDivisor sets when a start is sent a second time: after this fraction of its timeout.
	hedgeDivisor = 4
	// initialMean is the mean before any measurement.
	initialMean = 30 * time.Millisecond
)

// callLatency tracks how long workers take to answer and whether answers get lost.
type callLatency struct {
	mean time.Duration
	// baseline is the shortest recent answer time: roughly the network's round trip.
	baseline time.Duration
	// lossyUntil is until when answers count as being lost now and then, although the workers are up.
	lossyUntil time.Duration
}

// lossyFor is how long one lost answer counts.
const lossyFor = 4 * time.Second

// observe records one answer time.
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

// slow reports whether answers take clearly longer than the baseline. Then this replica is overloaded, and more calls would make that
// worse.
func (a *callLatency) slow() bool { return a.mean-a.baseline > slowMargin }

// timeout returns how long a call waits for its answer.
func (a *callLatency) timeout() time.Duration {
	mean := a.mean
	if mean == 0 {
		mean = initialMean
	}
	return min(max(timeoutFactor*mean, minTimeout), maxTimeout)
}

// hedgeDelay returns after how long without an answer a start is resent.
func (a *callLatency) hedgeDelay() time.Duration { return a.timeout() / hedgeDivisor }

// lossy reports whether answers are being lost now and then.
func (s *Scheduler) lossy() bool { return s.now < s.latency.lossyUntil }

// callUnanswered handles a call without an answer. If its worker has answered another call since, the answer was lost.
func (s *Scheduler) callUnanswered(ended *call) {
	if ended.worker.answeredAt > ended.sentAt {
		s.noteLostAnswer()
	}
}

// noteLostAnswer records a lost answer, unless answers are slow in general.
func (s *Scheduler) noteLostAnswer() {
	if s.latency.mean < maxMeanForLoss {
		s.latency.lossyUntil = s.now + lossyFor
	}
}

// callAnswered records a worker's answer. Holds are not measured, because they wait on the worker.
func (s *Scheduler) callAnswered(ended *call) {
	ended.worker.answeredAt = s.now
	if ended.kind != CallHold {
		s.latency.observe(s.now - ended.sentAt)
	}
	if ended.kind == CallStart {
		s.startLimiter.adapt(s.now, &s.latency)
	}
}

// call is an outstanding call.
type call struct {
	id        uint64
	kind      CallKind
	worker    *worker
	run       *run // set for a start or a stop
	sentAt    time.Duration
	firstHold bool // a hold to a worker that has not answered any yet
}

// reservedCalls are kept free for starts and stops when second holds are sent.
const reservedCalls = 256

// hasSpareCalls reports whether optional calls may be made within the call limit.
func (s *Scheduler) hasSpareCalls() bool {
	return s.maxCalls == 0 || len(s.calls)+reservedCalls < s.maxCalls
}

// send queues a call for output and returns its ID.
func (s *Scheduler) send(request Call, w *worker, r *run) uint64 {
	s.lastCallID++
	request.ID = s.lastCallID
	request.Worker = w.identity
	first := request.Kind == CallHold && w.reach == reachUnheard
	if first {
		s.firstHolds.inFlight++
	}
	s.calls[request.ID] = &call{id: request.ID, kind: request.Kind, worker: w, run: r, sentAt: s.now, firstHold: first}
	s.newCalls = append(s.newCalls, request)
	return request.ID
}
