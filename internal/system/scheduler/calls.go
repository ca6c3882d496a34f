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
	shortestTimeout = 120 * time.Millisecond
	longestTimeout  = 700 * time.Millisecond
	// timeoutFactor is how many times the mean answer time a call waits; answerMemory is over how many answers that mean goes.
	timeoutFactor = 8
	answerMemory  = 24
	// promptAnswer is up to which mean answer time a missing answer counts as lost: beyond it, this replica or the way is slow itself, and
	// more calls would make that worse.
	promptAnswer = 25 * time.Millisecond
	// slowAnswer is by how much the mean answer may take longer than the quickest of late; promptMemory is over how many answers that one
	// is forgotten.
	slowAnswer   = 25 * time.Millisecond
	promptMemory = 4096
	// hedgePart is after which part of its time-out a start is sent a second time.
	hedgePart = 4
	// firstAnswerTime is the mean before anything was measured.
	firstAnswerTime = 30 * time.Millisecond
)

// answerTimes is what was learnt of how long workers take to answer, and whether answers are lost on their way.
type answerTimes struct {
	mean time.Duration
	// prompt is how long the way takes at least, as the quickest of late show.
	prompt time.Duration
	// lossyUntil is how long answers are taken to be lost now and then, though the workers are there.
	lossyUntil time.Duration
}

// lossyFor is how long one lost answer counts.
const lossyFor = 4 * time.Second

// measured takes in how long an answer took.
func (a *answerTimes) measured(took time.Duration) {
	if a.mean == 0 {
		a.mean = firstAnswerTime
	}
	a.mean += (took - a.mean) / answerMemory
	if a.prompt == 0 || took < a.prompt {
		a.prompt = took
		return
	}
	a.prompt += (took - a.prompt) / promptMemory
}

// slow tells whether answers take clearly longer than the way does: this replica has more to do than it gets done, and more calls would make
// that worse.
func (a *answerTimes) slow() bool { return a.mean-a.prompt > slowAnswer }

// timeout is how long a call waits for its answer.
func (a *answerTimes) timeout() time.Duration {
	mean := a.mean
	if mean == 0 {
		mean = firstAnswerTime
	}
	return min(max(timeoutFactor*mean, shortestTimeout), longestTimeout)
}

// hedge is after how long without an answer a start is sent once more.
func (a *answerTimes) hedge() time.Duration { return a.timeout() / hedgePart }

// lossy tells whether answers are lost now and then.
func (s *Scheduler) lossy() bool { return s.now < s.answers.lossyUntil }

// unanswered takes note of a call without an answer; if its worker has answered another call since, the answer was lost.
func (s *Scheduler) unanswered(ended *call) {
	if ended.worker.answeredAt > ended.sentAt {
		s.answerLost()
	}
}

// answerLost takes note of a lost answer, unless answers are slow altogether.
func (s *Scheduler) answerLost() {
	if s.answers.mean < promptAnswer {
		s.answers.lossyUntil = s.now + lossyFor
	}
}

// answered takes note of a worker's answer to a call that wasn't to wait.
func (s *Scheduler) answered(ended *call) {
	ended.worker.answeredAt = s.now
	if ended.kind != CallHold {
		s.answers.measured(s.now - ended.sentAt)
	}
	if ended.kind == CallStart {
		s.pace.answered(s.now, &s.answers)
	}
}

// call is a call that is out.
type call struct {
	id     uint64
	kind   CallKind
	worker *worker
	run    *run // of a start or a stop
	sentAt time.Duration
	first  bool // it is a look at a worker that has answered nothing yet
}

// spareCalls are left for starts and stops when workers are asked twice.
const spareCalls = 256

// callsLeft tells whether there is room for calls that could be done without.
func (s *Scheduler) callsLeft() bool {
	return s.mostCalls == 0 || len(s.calls)+spareCalls < s.mostCalls
}

// send puts a call out.
func (s *Scheduler) send(made Call, w *worker, r *run) uint64 {
	s.lastCall++
	made.ID = s.lastCall
	made.Worker = w.life
	first := made.Kind == CallHold && w.reach == unheard
	if first {
		s.looks.out++
	}
	s.calls[made.ID] = &call{id: made.ID, kind: made.Kind, worker: w, run: r, sentAt: s.now, first: first}
	s.out = append(s.out, made)
	return made.ID
}
