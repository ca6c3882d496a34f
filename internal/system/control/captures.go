package control

import (
	"gaugeslip/coord/replica"
	"gaugeslip/internal/system/state"
)

// captureChunkSize is how many bytes of a snapshot are made in one turn of the loop: some milliseconds' work. A head that stands still for
// as long as a large snapshot takes loses its lease.
const captureChunkSize = 256 << 10

// capturePurpose tells what a snapshot is wanted for.
type capturePurpose byte

// The uses of a snapshot.
const (
	captureForLearners capturePurpose = 1 << iota
	captureForLog
)

// pendingCapture is the snapshot under way.
type pendingCapture struct {
	capture  *state.Capture // nil: none
	index    uint64         // the last entry that is in it
	purposes capturePurpose
}

// startCapture has a snapshot made, unless one is under way that serves.
func (e *engine) startCapture(use capturePurpose) {
	e.pendingCapture.purposes |= use
	if e.pendingCapture.capture != nil {
		return
	}
	e.pendingCapture.capture, e.pendingCapture.index = e.machine.Capture(), e.appliedIndex
	e.continueCapture(e.pendingCapture.capture)
}

// continueCapture makes a slice, and hands the snapshot out once it is whole.
func (e *engine) continueCapture(capture *state.Capture) {
	if e.closed || e.pendingCapture.capture != capture {
		return
	}
	if !capture.Continue(captureChunkSize) {
		e.options.post(func() { e.continueCapture(capture) })
		return
	}
	whole := e.pendingCapture
	e.pendingCapture = pendingCapture{}
	if whole.purposes&captureForLog != 0 {
		e.rewriteLog(whole.index, capture.Bytes())
	}
	if whole.purposes&captureForLearners != 0 {
		e.step(replica.SnapshotReady{Index: whole.index, Data: capture.Bytes()})
	}
}

// dropCapture gives the snapshot under way up, as another state has come.
func (e *engine) dropCapture() {
	if e.pendingCapture.purposes&captureForLog != 0 {
		e.rewriting = false
	}
	e.pendingCapture = pendingCapture{}
}
