package control

import "gaugeslip/internal/system/state"

// mostWaitingReads bounds the reads that wait for their state; more are refused at once.
const mostWaitingReads = 4096

// waitingRead is a read that may be answered once the state here has come to an index.
type waitingRead struct {
	index  uint64
	answer func(current bool)
}

// read calls answer once: with true as soon as the state here shows all that had been acknowledged when it was asked, or with false
// where this replica can't know that. What is said then was so at one moment between question and answer, however late the answer
// goes out.
func (e *engine) read(answer func(current bool)) {
	index, ok := e.readIndex()
	e.await(index, ok, answer)
}

// readJob is read for one job: it waits only for what may change that job. Nothing is said of the order of changes to different jobs. A
// backlog is waited for as a whole: to look through it takes about as long as to apply it.
func (e *engine) readJob(id state.JobID, answer func(current bool)) {
	index, ok := e.readIndex()
	if ok && index > e.appliedTo && !e.catchingUp() {
		e.unapplied.look(e.replica.EntriesAfter(max(e.unapplied.seen, e.appliedTo)))
		index = min(index, e.unapplied.lastOf(id))
	}
	e.await(index, ok, answer)
}

// readIndex is what has to be applied for the state here to show all that has been acknowledged; ok is false where that isn't known here.
func (e *engine) readIndex() (index uint64, ok bool) {
	if e.closed {
		return 0, false
	}
	return e.replica.ReadIndex(e.options.now())
}

// await answers once the state here has come to an index.
func (e *engine) await(index uint64, ok bool, answer func(current bool)) {
	switch {
	case !ok || len(e.reads) >= mostWaitingReads:
		answer(false)
	case index <= e.appliedTo:
		answer(true)
	default:
		e.reads = append(e.reads, waitingRead{index, answer})
	}
}

// settleReads answers the reads whose state is reached.
func (e *engine) settleReads() {
	kept := e.reads[:0]
	for _, waiting := range e.reads {
		if waiting.index > e.appliedTo {
			kept = append(kept, waiting)
			continue
		}
		waiting.answer(true)
	}
	clear(e.reads[len(kept):])
	e.reads = kept
}

// refuseReads ends all reads that wait: in another view their indexes may never come, and others may stand there.
func (e *engine) refuseReads() {
	waiting := e.reads
	e.reads, e.unapplied = nil, unapplied{}
	for _, read := range waiting {
		read.answer(false)
	}
}
