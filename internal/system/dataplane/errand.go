package dataplane

import (
	"errors"
	"time"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/internalapi"
)

// callSlack is how long a call may overrun its timeout before it is abandoned.
const callSlack = 20 * time.Millisecond

// errAbandoned reports that the dispatcher no longer waits for a call. The outcome of the call is unknown.
var errAbandoned = errors.New("call abandoned")

// coreRequest describes the call to the core that one client request needs. The call may be repeated because all calls are
// idempotent.
type coreRequest struct {
	method string
	args   any
	// writes marks a call that changes state: an unknown outcome leaves the request in doubt.
	writes bool
	// target returns the address for the given attempt, or "" if no replica is known. stillValid reports whether, after a view
	// change, a call in progress to the address may still get a reply.
	target     func(current *view.View, attempt int) (address string)
	stillValid func(current *view.View, address string) bool
	// notKnownIsFinal makes the verdict NotKnown a final reply.
	notKnownIsFinal bool
	deadlines       deadlines
}

// coreResult is the result of a coreRequest. If reply is nil, the dispatcher gave up.
type coreResult struct {
	reply   *internalapi.JobReply
	inDoubt bool
	summary callSummary
}

// execute repeats the call until a reply is final, the deadline passes or the core is unreachable.
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

// pauseOrGiveUp pauses before the next attempt and returns "", or returns the reason for giving up.
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

// isFinal reports whether a reply ends the request. If an earlier call is in doubt, only Done and, where it is an answer,
// NotKnown are final.
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

// fromOlderConfig reports whether the replica used an older configuration than the one known here.
func (d *Dispatcher) fromOlderConfig(reply *internalapi.JobReply) bool {
	return reply.ConfigVersion != 0 && reply.ConfigVersion < d.directory.ConfigVersion()
}

// coreUnreachable reports whether no serving replica has replied for so long that waiting is useless. A dispatcher that has just
// started, for example after a power loss of all machines, waits as long as one that has just lost contact.
func (d *Dispatcher) coreUnreachable() bool {
	return !d.directory.MayBeReachable(d.options.CoreContactTimeout)
}

// attempt makes one call and records what its reply says about the core.
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

// callResult is the result of one call.
type callResult struct {
	reply *internalapi.JobReply
	err   error
}

// callReplica makes one call. It returns errAbandoned as soon as a newer view rules out a reply.
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

// waitForChange waits for the pause or until changed is closed. It returns false immediately if the pause doesn't end before the
// given time.
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
