package control

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
	if e.closed {
		answer(false)
		return
	}
	index, ok := e.replica.ReadIndex(e.options.now())
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

// refuseReads ends all reads that wait: in another view their indexes may never come.
func (e *engine) refuseReads() {
	waiting := e.reads
	e.reads = nil
	for _, read := range waiting {
		read.answer(false)
	}
}
