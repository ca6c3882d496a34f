package control

import (
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/internal/system/state"
)

// maxProposalBatch bounds the commands that are appended at once.
const maxProposalBatch = 512

// proposal is a command on its way through the chain. Its done function is called once, with the commit status and, if the command is
// committed, with its result.
type proposal struct {
	data       []byte
	epoch      uint64
	appendedAt time.Duration // when it was appended
	done       func(result state.Result, status commitStatus)
}

// commitStatus is the outcome of a proposal.
type commitStatus byte

const (
	statusCommitted commitStatus = iota
	statusInDoubt                // it may be committed or not
	statusRejected               // it is not committed and never will be
)

// resolveProposal reports the commit status to the proposal at the entry's index, if there is one.
func (e *engine) resolveProposal(entry chain.Entry, result state.Result) {
	pending := e.inFlight[entry.Index]
	if pending == nil {
		return
	}
	delete(e.inFlight, entry.Index)
	if pending.epoch != entry.Epoch {
		pending.done(state.Result{}, statusRejected)
		return
	}
	e.options.committed(e.options.now() - pending.appendedAt)
	pending.done(result, statusCommitted)
}

// propose queues a command, which is appended as soon as this replica may propose.
func (e *engine) propose(command state.Command, done func(state.Result, commitStatus)) {
	e.queue = append(e.queue, &proposal{data: command.Encode(), done: done})
}

// flush appends a batch of queued commands and reports whether any was appended.
func (e *engine) flush() bool {
	if len(e.queue) == 0 || e.closed || e.replica.CanPropose(e.options.now()) != nil {
		return false
	}
	batch := e.queue[:min(len(e.queue), maxProposalBatch)]
	data := make([][]byte, len(batch))
	for i, pending := range batch {
		data[i] = pending.data
	}
	epoch, now := e.replica.View().Epoch, e.options.now()
	first, output, err := e.replica.Propose(now, data)
	if err == nil {
		for i, pending := range batch {
			pending.epoch, pending.appendedAt, pending.data = epoch, now, nil
			e.trackInFlight(first+uint64(i), pending)
		}
		e.queue = append([]*proposal(nil), e.queue[len(batch):]...)
	}
	e.handleOutput(output)
	return err == nil
}

// trackInFlight records the index at which a proposal was appended. A proposal of an earlier epoch at that index was dropped from the log
// here and becomes in doubt: another replica may still have it, and commit it if this head's epoch ends before that replica learns of it.
func (e *engine) trackInFlight(index uint64, appended *proposal) {
	dropped := e.inFlight[index]
	e.inFlight[index] = appended
	if dropped != nil {
		dropped.done(state.Result{}, statusInDoubt)
	}
}

// rejectQueued rejects all proposals that were never appended.
func (e *engine) rejectQueued() {
	queued := e.queue
	e.queue = nil
	for _, pending := range queued {
		pending.done(state.Result{}, statusRejected)
	}
}
