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

// errand is what one client's request needs of the core. It may be repeated: all calls are idempotent.
type errand struct {
	method string
	args   any
	// writes says that a call of unknown outcome leaves the request in doubt.
	writes bool
	// target names whom the numbered try goes to, empty for nobody; after a change of the view, stays tells whether a call that
	// is out there may still be answered.
	target func(current *view.View, try int) (address string)
	stays  func(current *view.View, address string) bool
	// notKnownSettles says that NotKnown is an answer.
	notKnownSettles bool
	patience        patience
}

// conclusion is how an errand ended. Without a reply it was given up.
type conclusion struct {
	reply   *internalapi.JobReply
	inDoubt bool
	course  course
}

// carryOut repeats calls until one settles the errand, its time is over, or there is no hope left.
func (d *Dispatcher) carryOut(e *errand) conclusion {
	end := conclusion{}
	pause := d.options.FirstPause
	for try := 0; ; try++ {
		current, changed := d.directory.Watch()
		reply, certain := d.try(e, current, try, &end.course)
		if certain == replied && d.settles(e, reply, end.inDoubt) {
			end.reply = reply
			return end
		}
		if e.writes && leavesDoubt(reply, certain) {
			end.inDoubt = true
		}
		d.poke()
		if end.course.reason = d.givesUp(pause, d.beforeTheEnd(e.patience.until(end.inDoubt)), changed); end.course.reason != "" {
			return end
		}
		pause = min(2*pause, d.options.LongestPause)
	}
}

// givesUp pauses before the next try, or says why there is none.
func (d *Dispatcher) givesUp(pause time.Duration, until time.Time, changed <-chan struct{}) failureReason {
	switch {
	case d.hopeless():
		return reasonNoCore
	case !waitFor(pause, until, changed):
		return reasonTimeUp
	}
	return ""
}

func leavesDoubt(reply *internalapi.JobReply, certain outcome) bool {
	if certain == replied {
		return reply.Verdict == internalapi.InDoubt
	}
	return certain == unknown
}

// settles tells whether a reply ends the errand. In doubt, only Done does.
func (d *Dispatcher) settles(e *errand, reply *internalapi.JobReply, inDoubt bool) bool {
	switch reply.Verdict {
	case internalapi.Done:
		return true
	case internalapi.NotKnown:
		return e.notKnownSettles
	case internalapi.NoRoute:
		return !inDoubt && !d.older(reply)
	case internalapi.Invalid, internalapi.Overloaded:
		return !inDoubt
	}
	return false
}

// older tells whether a reply was made by an older configuration than ours.
func (d *Dispatcher) older(reply *internalapi.JobReply) bool {
	return reply.ConfigVersion != 0 && reply.ConfigVersion < d.directory.ConfigVersion()
}

// hopeless tells whether nobody who serves was heard of for so long that waiting is no use. A dispatcher that has just started, as after
// a loss of power of all machines, waits for the core as one does that has just lost it.
func (d *Dispatcher) hopeless() bool {
	return !d.directory.MayBeReachable(d.options.ContactLife)
}

// try makes one call and takes in what its reply tells of the core.
func (d *Dispatcher) try(e *errand, current *view.View, try int, went *course) (*internalapi.JobReply, outcome) {
	address := e.target(current, try)
	timeout := min(d.tryTimeout(try), time.Until(d.beforeTheEnd(e.patience.doubt)))
	if address == "" || timeout <= 0 {
		return nil, neverCarriedOut
	}
	reply, err := d.await(e, address, timeout)
	went.tries++
	went.address, went.last = address, wordOf(reply, err)
	certain := outcomeOf(err)
	if certain == replied {
		d.directory.Answered(address)
		d.learn(reply)
	}
	return reply, certain
}

func (d *Dispatcher) tryTimeout(try int) time.Duration {
	if try == 0 {
		return d.options.FirstTry
	}
	return d.options.LaterTry
}

func (d *Dispatcher) learn(reply *internalapi.JobReply) {
	d.directory.LearnView(reply.View)
	switch reply.Verdict {
	case internalapi.Done, internalapi.NotKnown, internalapi.Overloaded:
		d.directory.Contact()
	}
	if reply.ConfigVersion > d.directory.ConfigVersion() {
		d.poke()
	}
}

// callEnd is how a call ended.
type callEnd struct {
	reply *internalapi.JobReply
	err   error
}

// await makes one call. It stops waiting, with errAbandoned, once a newer view says that no answer can be expected any more.
func (d *Dispatcher) await(e *errand, address string, timeout time.Duration) (*internalapi.JobReply, error) {
	ended := make(chan callEnd, 1)
	d.calls.Go(func() {
		reply := &internalapi.JobReply{}
		err := d.caller.Call(address, e.method, e.args, reply, timeout)
		ended <- callEnd{reply: reply, err: err}
	})
	timer := time.NewTimer(timeout + callSlack)
	defer timer.Stop()
	for {
		current, changed := d.directory.Watch()
		if !e.stays(current, address) {
			return endedOrAbandoned(ended)
		}
		select {
		case end := <-ended:
			return end.reply, end.err
		case <-timer.C:
			return nil, errAbandoned
		case <-changed:
		}
	}
}

func endedOrAbandoned(ended <-chan callEnd) (*internalapi.JobReply, error) {
	select {
	case end := <-ended:
		return end.reply, end.err
	default:
		return nil, errAbandoned
	}
}

// waitFor pauses, or less if the channel is closed before; false at once when there is no time for the pause.
func waitFor(pause time.Duration, until time.Time, changed <-chan struct{}) bool {
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
