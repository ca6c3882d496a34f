package control

import (
	"fmt"
	"time"

	"gaugeslip/coord/replica"
	"gaugeslip/internal/system/internalapi"
)

// handoverTimeout is how long an operator's call waits: for the transfer, and in addition for the loop.
const handoverTimeout = leaveTimeout + operatorQueryTimeout

// pendingHandover is a transfer that an operator has requested. Afterwards the replica rejoins the chain as a learner.
type pendingHandover struct {
	engine *engine
	answer func(internalapi.HandoverReply)
}

// Handover makes the head hand over to its successor.
func (s *Service) Handover(_ internalapi.HandoverArgs, reply *internalapi.HandoverReply) error {
	doubt := internalapi.HandoverReply{Verdict: internalapi.InDoubt, Text: "no answer in time: look at the view"}
	*reply = runOnLoop(s.node, handoverTimeout, doubt, s.node.startHandover)
	return nil
}

// startHandover starts a requested transfer. It runs on the loop.
func (n *Node) startHandover(answer func(internalapi.HandoverReply)) {
	if refusal := n.handoverRefusal(); refusal != nil {
		answer(*refusal)
		return
	}
	n.logger.Info("handover requested", "epoch", n.engine.view().Epoch)
	request := &pendingHandover{engine: n.engine, answer: answer}
	n.handover = request
	time.AfterFunc(leaveTimeout, func() { n.loop.post(func() { n.handoverExpired(request) }) })
	n.engine.step(replica.Leave{})
}

// handoverRefusal returns the reason why a handover is impossible or would do harm, or nil.
func (n *Node) handoverRefusal() *internalapi.HandoverReply {
	newest := n.engine.view()
	least := n.settings.FaultTolerance.Machines + 2
	switch {
	case !n.acting():
		return &internalapi.HandoverReply{Verdict: internalapi.NotHead, View: newest}
	case n.leaving || n.handover != nil:
		return &internalapi.HandoverReply{Verdict: internalapi.Invalid, Text: "it is handing over already"}
	case len(newest.Chain) < least:
		text := fmt.Sprintf("the chain has %d members, and without the head too few are left to commit: wait until it has %d",
			len(newest.Chain), least)
		return &internalapi.HandoverReply{Verdict: internalapi.Invalid, Text: text}
	}
	return nil
}

// finishHandover answers the operator after the transfer is decided and makes the replica rejoin as a learner.
func (n *Node) finishHandover() {
	request := n.handover
	if request == nil {
		return
	}
	n.handover = nil
	n.logger.Info("handed over", "epoch", n.engine.view().Epoch)
	request.answer(internalapi.HandoverReply{Verdict: internalapi.Done, View: n.engine.view()})
	n.rejoin()
}

// handoverExpired ends a transfer that was not decided in time. A replica that has announced its departure can only come back by a restart
// of its core.
func (n *Node) handoverExpired(request *pendingHandover) {
	if n.handover != request {
		return
	}
	n.handover = nil
	n.logger.Warn("handover timed out", "epoch", n.engine.view().Epoch)
	request.answer(internalapi.HandoverReply{Verdict: internalapi.InDoubt, Text: "not decided in time: look at the view"})
	if n.engine == request.engine {
		n.rejoin()
	}
}

// rejoin restarts the replica's core from its disk.
func (n *Node) rejoin() {
	if n.engine.closed || n.leaving {
		return
	}
	n.dropScheduler()
	n.engine.close()
	time.AfterFunc(restartDelay, func() { n.loop.post(n.restartEngine) })
}
