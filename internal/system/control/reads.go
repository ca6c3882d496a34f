package control

import "gaugeslip/internal/system/state"

// maxPendingReads bounds the reads that wait for their index. Further ones are refused at once.
const maxPendingReads = 4096

// pendingRead is a read that may be answered once the given index is applied.
type pendingRead struct {
	index  uint64
	answer func(current bool)
}

// read calls answer once: with true as soon as the state contains everything that was acknowledged before the call, or with false if this
// replica cannot determine that. The state is then current as of some moment between call and answer, however late the answer is sent.
func (e *engine) read(answer func(current bool)) {
	index, ok := e.readIndex()
	e.awaitIndex(index, ok, answer)
}

// readJob is read for one job: it waits only for entries that may change that job. It gives no guarantee about the order of changes to
// different jobs. It waits for a backlog as a whole: scanning a backlog takes about as long as applying it.
func (e *engine) readJob(id state.JobID, answer func(current bool)) {
	index, ok := e.readIndex()
	if ok && index > e.appliedIndex && !e.catchingUp() {
		e.unapplied.scan(e.replica.EntriesAfter(max(e.unapplied.scannedTo, e.appliedIndex)))
		index = min(index, e.unapplied.lastChange(id))
	}
	e.awaitIndex(index, ok, answer)
}

// readIndex returns the index that must be applied for the state to contain everything acknowledged so far. ok is false if this replica
// cannot determine it.
func (e *engine) readIndex() (index uint64, ok bool) {
	if e.closed {
		return 0, false
	}
	return e.replica.ReadIndex(e.options.now())
}

// awaitIndex answers once the given index is applied. It refuses the read if ok is false or too many reads wait.
func (e *engine) awaitIndex(index uint64, ok bool, answer func(current bool)) {
	switch {
	case !ok || len(e.pendingReads) >= maxPendingReads:
		answer(false)
	case index <= e.appliedIndex:
		answer(true)
	default:
		e.pendingReads = append(e.pendingReads, pendingRead{index, answer})
	}
}

// answerReadyReads answers the reads whose index is applied.
func (e *engine) answerReadyReads() {
	kept := e.pendingReads[:0]
	for _, pending := range e.pendingReads {
		if pending.index > e.appliedIndex {
			kept = append(kept, pending)
			continue
		}
		pending.answer(true)
	}
	clear(e.pendingReads[len(kept):])
	e.pendingReads = kept
}

// rejectReads refuses all waiting reads: in another view their indexes may never be reached, or hold other entries.
func (e *engine) rejectReads() {
	pending := e.pendingReads
	e.pendingReads, e.unapplied = nil, unapplied{}
	for _, read := range pending {
		read.answer(false)
	}
}
