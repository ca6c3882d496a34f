package control

import (
	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/scheduler"
)

// handleEvent handles an event of the replica core.
func (n *Node) handleEvent(event replica.Event) {
	switch event := event.(type) {
	case replica.BecameHead:
		n.becameHead(event)
	case replica.LostHead:
		n.schedulerActive = false
		n.logger.Info("head lease lost", append([]any{"epoch", event.Epoch}, causeFields(event.Cause)...)...)
	case replica.ViewChanged:
		n.viewChanged(event.View, event.Cause)
	case replica.Left:
		n.leftChain()
	}
}

// leftChain ends the wait of Leave. Without one it completes a handover, if an operator has requested one, after which the replica comes
// back.
func (n *Node) leftChain() {
	if n.leaving {
		n.leaving = false
		close(n.left)
		return
	}
	n.finishHandover()
}

func (n *Node) becameHead(event replica.BecameHead) {
	n.logger.Info("head", "epoch", event.Epoch, "continued", event.Continued, "quiet", n.commitPauses.pauseLength(n.now()))
	n.schedulerActive = true
	if event.Continued && n.scheduler != nil {
		return
	}
	options := scheduler.Options{Token: event.Epoch, Machine: n.engine.machine, Bounds: n.settings.Bounds, MaxCalls: n.workerConnections()}
	n.scheduler = scheduler.New(options, n.now())
	n.schedulerEpoch = event.Epoch
	if n.config != nil {
		n.scheduler.Configured(n.now(), n.config)
	}
	n.useEarlyList()
	n.gossipConfig() // other replicas that have just started may know only an outdated configuration and do not gossip it
}

// dropScheduler ends the scheduler role of this replica. Results of its outstanding calls are ignored.
func (n *Node) dropScheduler() {
	n.scheduler, n.schedulerActive = nil, false
}

func (n *Node) viewChanged(newest view.View, cause replica.Cause) {
	n.counts.views++
	n.logView(newest, cause)
	if newest.Head().ID != n.engine.replica.Self().ID {
		n.dropScheduler()
		n.engine.rejectQueued()
	} else {
		n.readListEarly()
	}
	data, err := internalapi.EncodeView(newest)
	if err != nil {
		n.logger.Error("cannot encode view for gossip", "error", err)
		return
	}
	n.gossip(internalapi.KeyView, internalapi.ViewVersion(newest), data)
}

func addresses(members []view.Member) []string {
	list := make([]string, len(members))
	for i, member := range members {
		list[i] = member.Address
	}
	return list
}
