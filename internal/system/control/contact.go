package control

import (
	"time"

	"gaugeslip/coord/replica"
)

// headContactTimeout is how long after the last message from the head, or after its own lease, a replica still looks for a head that
// accepts a request or answers a read. A change of head takes about one second.
const headContactTimeout = 2 * time.Second

// recordHeadContact records the time of a message from the head of the view in force.
func (e *engine) recordHeadContact(input replica.Input) {
	received, ok := input.(replica.Receive)
	if !ok {
		return
	}
	newest := e.view()
	if from := received.Message.From.ID; from == newest.Head().ID && received.Message.Epoch == newest.Epoch {
		e.headContactAt = e.options.now()
	}
}

// hasHeadContact reports whether this replica heard from a head within headContactTimeout, or is the head.
func (e *engine) hasHeadContact() bool {
	now := e.options.now()
	if e.replica.IsHead(now) {
		e.headContactAt = now
	}
	return now-e.headContactAt <= headContactTimeout
}

// isCutOff reports whether this replica has lost contact with the head. The caller should then try another replica instead of waiting for a
// head here.
func (n *Node) isCutOff() bool {
	return runOnLoop(n, time.Second, false, func(answer func(bool)) { answer(!n.engine.hasHeadContact()) })
}
