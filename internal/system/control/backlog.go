package control

import (
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/internal/system/state"
)

// applySlice is how many committed entries are applied in one turn of the loop: some milliseconds' work. Heartbeats, acknowledgements and
// the forwarding along the chain don't wait for more of a backlog than that.
const applySlice = auditBacklog

// backlog is what is committed and not yet applied, where more came at once than is applied in one turn: after a restart, or when a replica
// has been away.
type backlog struct {
	waiting []chain.Entry // in order, from the one after the engine's appliedTo on
	entries int           // that the backlog has had in all
	began   time.Duration
	// generation tells continuations of a backlog that was dropped from those of the present one.
	generation uint64
	// head is held back until the state has all that was committed before it.
	head *replica.BecameHead
}

// drop gives up what waits, as another state takes its place or the engine ends.
func (b *backlog) drop() { *b = backlog{generation: b.generation + 1} }

// upToDate tells whether the state shows more than what the disk knew to be committed: the head, or the chain, has told of it in this life.
// Before that it may be as old as this replica was away.
func (e *engine) upToDate() bool {
	return e.appliedTo > e.resumedTo || e.isHead() && !e.catchingUp()
}

// catchingUp tells whether a backlog is being applied.
func (e *engine) catchingUp() bool { return len(e.backlog.waiting) > 0 }

// applyAll applies committed entries. What is more than one slice is a backlog and is applied in turns of the loop.
func (e *engine) applyAll(entries []chain.Entry) {
	switch {
	case e.catchingUp():
		e.backlog.waiting = append(e.backlog.waiting, entries...)
		e.backlog.entries += len(entries)
	case len(entries) <= applySlice:
		for _, entry := range entries {
			e.apply(entry)
		}
	default:
		e.backlog.waiting, e.backlog.entries, e.backlog.began = entries[:len(entries):len(entries)], len(entries), e.options.now()
		e.continueBacklog(e.backlog.generation)
	}
}

// continueBacklog applies the next slice of a backlog.
func (e *engine) continueBacklog(generation uint64) {
	if e.closed || e.backlog.generation != generation {
		return
	}
	slice := e.backlog.waiting[:min(applySlice, len(e.backlog.waiting))]
	for _, entry := range slice {
		e.apply(entry)
		if e.closed || e.backlog.generation != generation {
			return
		}
	}
	e.backlog.waiting = e.backlog.waiting[len(slice):]
	e.settleReads()
	if e.catchingUp() {
		e.options.yield(func() { e.continueBacklog(generation) })
		return
	}
	e.endBacklog()
}

// endBacklog goes on as usual: digests are taken again from here on, and what was held back is told.
func (e *engine) endBacklog() {
	over := e.backlog
	e.backlog.drop()
	e.audit = state.NewAudit(e.appliedTo)
	e.options.caughtUp(over.entries, e.options.now()-over.began)
	if over.head != nil {
		e.options.event(*over.head)
	}
}

// apply applies an entry. Those of a backlog aren't summed up: that takes a replica that has just started, or has been away, the time that
// it needs to be there; nobody waits for its digests of then.
func (e *engine) apply(entry chain.Entry) {
	if entry.Index <= e.appliedTo {
		return
	}
	e.checkEntry(entry)
	e.appliedTo = entry.Index
	if len(entry.Data) == 0 {
		e.audited(entry, nil)
		e.settle(entry, state.Result{})
		return
	}
	result := e.machine.ApplyBytes(entry.Data)
	e.audited(entry, &result)
	e.options.applied(result)
	e.settle(entry, result)
}

// tell passes an event on. That this replica acts as the head is held back while the state lacks what was committed before.
func (e *engine) tell(event replica.Event) {
	switch event := event.(type) {
	case replica.BecameHead:
		if e.catchingUp() {
			e.holdHead(event)
			return
		}
	case replica.LostHead:
		e.backlog.head = nil
	case replica.ViewChanged:
		e.refuseReads()
	}
	e.options.event(event)
}

// holdHead keeps an event until the backlog is over; one before it that was never told counts with it.
func (e *engine) holdHead(event replica.BecameHead) {
	if held := e.backlog.head; held != nil {
		event.Continued = event.Continued && held.Continued
	}
	e.backlog.head = &event
}
