package dataplane

import (
	"errors"
	"time"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/internalapi"
)

// callSlack is how much longer than its timeout a call is waited for, should it not keep to it.
const callSlack = 20 * time.Millisecond

// errAbandoned says that a call is no longer waited for; its outcome is unknown.
var errAbandoned = errors.New("call abandoned")

// coreRequest is what one client's request needs of the core. It may be repeated: all calls are idempotent.
type coreRequest struct {
	method string
	args   any
	// writes says that a call of unknown outcome leaves the request in doubt.
	writes bool
	// target names whom the numbered try goes to, empty for nobody; after a change of the view, stays tells whether a call that
	// is out there may still be answered.
	target     func(current *view.View, attempt int) (address string)
	stillValid func(current *view.View, address string) bool
	// notKnownIsFinal says that NotKnown is an answer.
	notKnownIsFinal bool
	deadlines       deadlines
}

// coreResult is how an errand ended. Without a reply it was given up.
type coreResult struct {
	reply   *internalapi.JobReply
	inDoubt bool
	summary callSummary
}

// execute repeats calls until one settles the errand, its time is over, or there is no hope left.
func (d *Dispatcher) execute(r *coreRequest) coreResult {
	result := coreResult{}
	pause := d.options.FirstPause
	for attempt := 0; ; attempt++ {
		current, changed := d.directory.Watch()
		reply, outcome := d.attempt(r, current, attempt, &result.summary)
		if outcome == replied && d.isFinal(r, reply, result.inDoubt) {
			result.reply = reply
			return result
		}
		if r.writes && leavesInDoubt(reply, outcome) {
			result.inDoubt = true
		}
		d.requestPoll()
		if result.summary.reason = d.pauseOrGiveUp(pause, d.clampToDeadline(r.deadlines.until(result.inDoubt)), changed); result.summary.reason != "" {
			return result
		}
		pause = min(2*pause, d.options.MaxPause)
	}
}

// pauseOrGiveUp pauses before the next try, or says why there is none.
func (d *Dispatcher) pauseOrGiveUp(pause time.Duration, until time.Time, changed <-chan struct{}) failureReason {
	switch {
	case d.coreUnreachable():
		return reasonNoCore
	case !waitForChange(pause, until, changed):
		return reasonTimeUp
	}
	return ""
}

func leavesInDoubt(reply *internalapi.JobReply, outcome callOutcome) bool {
	if outcome == replied {
		return reply.Verdict == internalapi.InDoubt
	}
	return outcome == outcomeUnknown
}

// isFinal tells whether a reply ends the errand. In doubt, only Done does.
func (d *Dispatcher) isFinal(r *coreRequest, reply *internalapi.JobReply, inDoubt bool) bool {
	switch reply.Verdict {
	case internalapi.Done:
		return true
	case internalapi.NotKnown:
		return r.notKnownIsFinal
	case internalapi.NoRoute:
		return !inDoubt && !d.fromOlderConfig(reply)
	case internalapi.Invalid, internalapi.Overloaded:
		return !inDoubt
	}
	return false
}

// fromOlderConfig tells whether a reply was made by an older configuration than ours.
func (d *Dispatcher) fromOlderConfig(reply *internalapi.JobReply) bool {
	return reply.ConfigVersion != 0 && reply.ConfigVersion < d.directory.ConfigVersion()
}

// coreUnreachable tells whether nobody who serves was heard of for so long that waiting is no use. A dispatcher that has just started, as after
// a loss of power of all machines, waits for the core as one does that has just lost it.
func (d *Dispatcher) coreUnreachable() bool {
	return !d.directory.MayBeReachable(d.options.CoreContactTimeout)
}

// attempt makes one call and takes in what its reply tells of the core.
func (d *Dispatcher) attempt(r *coreRequest, current *view.View, attempt int, summary *callSummary) (*internalapi.JobReply, callOutcome) {
	address := r.target(current, attempt)
	timeout := min(d.attemptTimeout(attempt), time.Until(d.clampToDeadline(r.deadlines.inDoubt)))
	if address == "" || timeout <= 0 {
		return nil, notExecuted
	}
	reply, err := d.callReplica(r, address, timeout)
	summary.attempts++
	summary.address, summary.lastOutcome = address, outcomeText(reply, err)
	outcome := outcomeOf(err)
	if outcome == replied {
		d.directory.RecordReply(address)
		d.learnFromReply(reply)
	}
	return reply, outcome
}

func (d *Dispatcher) attemptTimeout(attempt int) time.Duration {
	if attempt == 0 {
		return d.options.FirstCallTimeout
	}
	return d.options.LaterCallTimeout
}

func (d *Dispatcher) learnFromReply(reply *internalapi.JobReply) {
	d.directory.LearnView(reply.View)
	switch reply.Verdict {
	case internalapi.Done, internalapi.NotKnown, internalapi.Overloaded:
		d.directory.RecordContact()
	}
	if reply.ConfigVersion > d.directory.ConfigVersion() {
		d.requestPoll()
	}
}

// callResult is how a call ended.
type callResult struct {
	reply *internalapi.JobReply
	err   error
}

// callReplica makes one call. It stops waiting, with errAbandoned, once a newer view says that no answer can be expected any more.
func (d *Dispatcher) callReplica(r *coreRequest, address string, timeout time.Duration) (*internalapi.JobReply, error) {
	done := make(chan callResult, 1)
	d.calls.Go(func() {
		reply := &internalapi.JobReply{}
		err := d.caller.Call(address, r.method, r.args, reply, timeout)
		done <- callResult{reply: reply, err: err}
	})
	timer := time.NewTimer(timeout + callSlack)
	defer timer.Stop()
	for {
		current, changed := d.directory.Watch()
		if !r.stillValid(current, address) {
			return resultOrAbandoned(done)
		}
		select {
		case result := <-done:
			return result.reply, result.err
		case <-timer.C:
			return nil, errAbandoned
		case <-changed:
		}
	}
}

func resultOrAbandoned(done <-chan callResult) (*internalapi.JobReply, error) {
	select {
	case result := <-done:
		return result.reply, result.err
	default:
		return nil, errAbandoned
	}
}

// waitForChange pauses, or less if the channel is closed before; false at once when there is no time for the pause.
func waitForChange(pause time.Duration, until time.Time, changed <-chan struct{}) bool {
	if time.Until(until) <= pause {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	}
	return true
}
