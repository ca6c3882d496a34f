package control

import (
	"gaugeslip/coord/replica"
	"gaugeslip/internal/system/state"
)

// captureChunkSize is how many bytes of a snapshot are serialised in one turn of the loop, which takes some milliseconds. A head that
// stopped for a whole large snapshot would lose its lease.
const captureChunkSize = 256 << 10

// capturePurpose is what a snapshot is needed for, as a bit set.
type capturePurpose byte

// The purposes of a snapshot.
const (
	captureForLearners capturePurpose = 1 << iota
	captureForLog
)

// pendingCapture is the snapshot being serialised.
type pendingCapture struct {
	capture  *state.Capture // nil: no snapshot in progress
	index    uint64         // index of the last entry included
	purposes capturePurpose
}

// startCapture starts a snapshot, or adds the purpose to the one in progress.
func (e *engine) startCapture(use capturePurpose) {
	e.pendingCapture.purposes |= use
	if e.pendingCapture.capture != nil {
		return
	}
	e.pendingCapture.capture, e.pendingCapture.index = e.machine.Capture(), e.appliedIndex
	e.continueCapture(e.pendingCapture.capture)
}

// continueCapture serialises the next chunk and delivers the snapshot once it is complete.
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

// dropCapture cancels the snapshot in progress because another state has replaced the captured one.
func (e *engine) dropCapture() {
	if e.pendingCapture.purposes&captureForLog != 0 {
		e.rewriting = false
	}
	e.pendingCapture = pendingCapture{}
}
