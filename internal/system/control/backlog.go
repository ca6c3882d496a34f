package control

import (
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/internal/system/state"
)

// applyBatchSize is how many committed entries are applied in one turn of the loop, which takes some milliseconds. It bounds how long
// heartbeats, acknowledgements and forwarding along the chain wait behind a backlog.
const applyBatchSize = maxDigestBatch

// backlog holds committed entries that are not applied yet, if more arrived at once than one turn of the loop applies. This happens after a
// restart, or when a replica was disconnected for a while.
type backlog struct {
	pending   []chain.Entry // in order, starting after the engine's appliedIndex
	total     int           // entries added to the backlog since it began
	startedAt time.Duration
	// generation distinguishes the continuations of a dropped backlog from those of the present one.
	generation uint64
	// pendingHead is the deferred event that this replica is the head, delivered once the backlog is applied.
	pendingHead *replica.BecameHead
}

// drop discards the pending entries because another state replaces the present one or the engine closes.
func (b *backlog) drop() { *b = backlog{generation: b.generation + 1} }

// upToDate reports whether the state is newer than what the disk recorded as committed at the start: since then the head or the chain has
// announced a commit. Before that the state may be as old as this replica's absence.
func (e *engine) upToDate() bool {
	return e.appliedIndex > e.restoredCommit || e.isHead() && !e.catchingUp()
}

// catchingUp reports whether a backlog is being applied.
func (e *engine) catchingUp() bool { return len(e.backlog.pending) > 0 }

// applyCommitted applies committed entries. More than applyBatchSize entries form a backlog, which is applied over several turns of the
// loop.
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

// continueBacklog applies the next batch of a backlog.
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

// finishBacklog ends the backlog: digests are taken again from here on, and a deferred BecameHead event is delivered.
func (e *engine) finishBacklog() {
	finished := e.backlog
	e.backlog.drop()
	e.audit = state.NewAudit(e.appliedIndex)
	e.options.caughtUp(finished.total, e.options.now()-finished.startedAt)
	if finished.pendingHead != nil {
		e.options.event(*finished.pendingHead)
	}
}

// apply applies an entry unless it is applied already. recordDigest takes no digests of backlog entries: they would delay the replica's
// return, and no other member waits for digests of old entries.
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

// forwardEvent passes an event to the node. BecameHead is deferred until everything committed before it is applied.
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

// deferBecameHead keeps the event until the backlog is applied. It merges with an earlier deferred event: the headship is continued only if
// both events say so.
func (e *engine) deferBecameHead(event replica.BecameHead) {
	if held := e.backlog.pendingHead; held != nil {
		event.Continued = event.Continued && held.Continued
	}
	e.backlog.pendingHead = &event
}
