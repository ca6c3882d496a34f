package control

import "gaugeslip/internal/system/state"

// maxPendingReads bounds the reads that wait for their state; more are refused at once.
const maxPendingReads = 4096

// pendingRead is a read that may be answered once the state here has come to an index.
type pendingRead struct {
	index  uint64
	answer func(current bool)
}

// read calls answer once: with true as soon as the state here shows all that had been acknowledged when it was asked, or with false
// where this replica can't know that. What is said then was so at one moment between question and answer, however late the answer
// goes out.
func (e *engine) read(answer func(current bool)) {
	index, ok := e.readIndex()
	e.awaitIndex(index, ok, answer)
}

// readJob is read for one job: it waits only for what may change that job. Nothing is said of the order of changes to different jobs. A
// backlog is waited for as a whole: to look through it takes about as long as to apply it.
func (e *engine) readJob(id state.JobID, answer func(current bool)) {
	index, ok := e.readIndex()
	if ok && index > e.appliedIndex && !e.catchingUp() {
		e.unapplied.scan(e.replica.EntriesAfter(max(e.unapplied.scannedTo, e.appliedIndex)))
		index = min(index, e.unapplied.lastChange(id))
	}
	e.awaitIndex(index, ok, answer)
}

// readIndex is what has to be applied for the state here to show all that has been acknowledged; ok is false where that isn't known here.
func (e *engine) readIndex() (index uint64, ok bool) {
	if e.closed {
		return 0, false
	}
	return e.replica.ReadIndex(e.options.now())
}

// awaitIndex answers once the state here has come to an index.
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

// answerReadyReads answers the reads whose state is reached.
func (e *engine) answerReadyReads() {
	kept := e.pendingReads[:0]
	for _, waiting := range e.pendingReads {
		if waiting.index > e.appliedIndex {
			kept = append(kept, waiting)
			continue
		}
		waiting.answer(true)
	}
	clear(e.pendingReads[len(kept):])
	e.pendingReads = kept
}

// rejectReads ends all reads that wait: in another view their indexes may never come, and others may stand there.
func (e *engine) rejectReads() {
	waiting := e.pendingReads
	e.pendingReads, e.unapplied = nil, unapplied{}
	for _, read := range waiting {
		read.answer(false)
	}
}
