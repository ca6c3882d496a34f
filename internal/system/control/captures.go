package control

import (
	"gaugeslip/coord/replica"
	"gaugeslip/internal/system/state"
)

// captureSlice is how many bytes of a snapshot are made in one turn of the loop: some milliseconds' work. A head that stands still for
// as long as a large snapshot takes loses its lease.
const captureSlice = 256 << 10

// captureUse tells what a snapshot is wanted for.
type captureUse byte

// The uses of a snapshot.
const (
	forLearners captureUse = 1 << iota
	forLog
)

// capturing is the snapshot under way.
type capturing struct {
	capture *state.Capture // nil: none
	index   uint64         // the last entry that is in it
	uses    captureUse
}

// capture has a snapshot made, unless one is under way that serves.
func (e *engine) capture(use captureUse) {
	e.capturing.uses |= use
	if e.capturing.capture != nil {
		return
	}
	e.capturing.capture, e.capturing.index = e.machine.Capture(), e.appliedTo
	e.continueCapture(e.capturing.capture)
}

// continueCapture makes a slice, and hands the snapshot out once it is whole.
func (e *engine) continueCapture(capture *state.Capture) {
	if e.closed || e.capturing.capture != capture {
		return
	}
	if !capture.Continue(captureSlice) {
		e.options.post(func() { e.continueCapture(capture) })
		return
	}
	whole := e.capturing
	e.capturing = capturing{}
	if whole.uses&forLog != 0 {
		e.rewrite(whole.index, capture.Bytes())
	}
	if whole.uses&forLearners != 0 {
		e.step(replica.SnapshotReady{Index: whole.index, Data: capture.Bytes()})
	}
}

// dropCapture gives the snapshot under way up, as another state has come.
func (e *engine) dropCapture() {
	if e.capturing.uses&forLog != 0 {
		e.rewriting = false
	}
	e.capturing = capturing{}
}
