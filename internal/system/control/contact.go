package control

import (
	"time"

	"gaugeslip/coord/replica"
)

// headContactTimeout is how long after its last word from the head, or its own lease, a replica still looks for a head that takes an
// order or answers a read. A change of head takes about one second.
const headContactTimeout = 2 * time.Second

// recordHeadContact notes a message from the head of the view in force.
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

// hasHeadContact tells whether a head has been heard of lately, be it this replica itself.
func (e *engine) hasHeadContact() bool {
	now := e.options.now()
	if e.replica.IsHead(now) {
		e.headContactAt = now
	}
	return now-e.headContactAt <= headContactTimeout
}

// isCutOff tells whether this replica is cut off, so that it is no use to look for a head: the caller had better go elsewhere.
func (n *Node) isCutOff() bool {
	return runOnLoop(n, time.Second, false, func(answer func(bool)) { answer(!n.engine.hasHeadContact()) })
}
