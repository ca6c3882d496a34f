package control

import (
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/internal/system/state"
)

// applyBatchSize is how many committed entries are applied in one turn of the loop: some milliseconds' work. Heartbeats, acknowledgements and
// the forwarding along the chain don't wait for more of a backlog than that.
const applyBatchSize = maxDigestBatch

// backlog is what is committed and not yet applied, where more came at once than is applied in one turn: after a restart, or when a replica
// has been away.
type backlog struct {
	pending   []chain.Entry // in order, from the one after the engine's appliedIndex on
	total     int           // that the backlog has had in all
	startedAt time.Duration
	// generation tells continuations of a backlog that was dropped from those of the present one.
	generation uint64
	// pendingHead is held back until the state has all that was committed before it.
	pendingHead *replica.BecameHead
}

// drop gives up what waits, as another state takes its place or the engine ends.
func (b *backlog) drop() { *b = backlog{generation: b.generation + 1} }

// upToDate tells whether the state shows more than what the disk knew to be committed: the head, or the chain, has told of it in this life.
// Before that it may be as old as this replica was away.
func (e *engine) upToDate() bool {
	return e.appliedIndex > e.restoredCommit || e.isHead() && !e.catchingUp()
}

// catchingUp tells whether a backlog is being applied.
func (e *engine) catchingUp() bool { return len(e.backlog.pending) > 0 }

// applyCommitted applies committed entries. What is more than one slice is a backlog and is applied in turns of the loop.
func (e *engine) applyCommitted(entries []chain.Entry) {
	switch {
	case e.catchingUp():
		e.backlog.pending = append(e.backlog.pending, entries...)
		e.backlog.total += len(entries)
	case len(entries) <= applyBatchSize:
		for _, entry := range entries {
			e.apply(entry)
		}
	default:
		e.backlog.pending, e.backlog.total, e.backlog.startedAt = entries[:len(entries):len(entries)], len(entries), e.options.now()
		e.continueBacklog(e.backlog.generation)
	}
}

// continueBacklog applies the next slice of a backlog.
func (e *engine) continueBacklog(generation uint64) {
	if e.closed || e.backlog.generation != generation {
		return
	}
	slice := e.backlog.pending[:min(applyBatchSize, len(e.backlog.pending))]
	for _, entry := range slice {
		e.apply(entry)
		if e.closed || e.backlog.generation != generation {
			return
		}
	}
	e.backlog.pending = e.backlog.pending[len(slice):]
	e.answerReadyReads()
	if e.catchingUp() {
		e.options.postDeferred(func() { e.continueBacklog(generation) })
		return
	}
	e.finishBacklog()
}

// finishBacklog goes on as usual: digests are taken again from here on, and what was held back is told.
func (e *engine) finishBacklog() {
	over := e.backlog
	e.backlog.drop()
	e.audit = state.NewAudit(e.appliedIndex)
	e.options.caughtUp(over.total, e.options.now()-over.startedAt)
	if over.pendingHead != nil {
		e.options.event(*over.pendingHead)
	}
}

// apply applies an entry. Those of a backlog aren't summed up: that takes a replica that has just started, or has been away, the time that
// it needs to be there; nobody waits for its digests of then.
func (e *engine) apply(entry chain.Entry) {
	if entry.Index <= e.appliedIndex {
		return
	}
	e.checkEntry(entry)
	e.appliedIndex = entry.Index
	if len(entry.Data) == 0 {
		e.recordDigest(entry, nil)
		e.resolveProposal(entry, state.Result{})
		return
	}
	result := e.machine.ApplyBytes(entry.Data)
	e.recordDigest(entry, &result)
	e.options.applied(result)
	e.resolveProposal(entry, result)
}

// forwardEvent passes an event on. That this replica acts as the head is held back while the state lacks what was committed before.
func (e *engine) forwardEvent(event replica.Event) {
	switch event := event.(type) {
	case replica.BecameHead:
		if e.catchingUp() {
			e.deferBecameHead(event)
			return
		}
	case replica.LostHead:
		e.backlog.pendingHead = nil
	case replica.ViewChanged:
		e.rejectReads()
	}
	e.options.event(event)
}

// deferBecameHead keeps an event until the backlog is over; one before it that was never told counts with it.
func (e *engine) deferBecameHead(event replica.BecameHead) {
	if held := e.backlog.pendingHead; held != nil {
		event.Continued = event.Continued && held.Continued
	}
	e.backlog.pendingHead = &event
}
