package control

import (
	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/state"
)

// commandApplied takes in a committed command.
func (n *Node) commandApplied(result state.Result) {
	n.counts.countCommand(&result)
	n.checkResult(&result)
	n.commitPauses.record(n.now())
	if result.Command.Kind == state.KindConfigReplaced && result.Outcome == state.Applied {
		n.configPending = true
	}
	n.logWorkerLost(&result)
	if n.scheduler != nil {
		n.scheduler.Applied(n.now(), result)
	}
}

// applyPendingConfig puts the newest of the configurations in force that a batch of commits, or a backlog, has brought; those before it are passed
// over.
func (n *Node) applyPendingConfig() {
	if n.configPending && !n.engine.catchingUp() {
		n.applyConfig()
	}
}

// snapshotInstalled takes in that a snapshot took the place of the state.
func (n *Node) snapshotInstalled() {
	n.dropScheduler()
	n.applyConfig()
}

// applyConfig puts the newest committed configuration in force here and, unless it may be an old one, gives it to the epidemic.
func (n *Node) applyConfig() {
	n.configPending = false
	current := n.engine.machine.Config()
	if current.Version == 0 {
		return
	}
	parsed, err := clusterconfig.Parse(current.Body)
	if err != nil {
		n.logger.Error("committed configuration can't be read", "version", current.Version, "error", err)
		return
	}
	n.checkConfig(current.Version)
	n.config = parsed
	n.logger.Info("configuration in force", "version", current.Version)
	if n.scheduler != nil {
		n.scheduler.Configured(n.now(), parsed)
	}
	if n.engine.upToDate() {
		n.gossipConfig()
	}
}

// gossipConfig gives the configuration in force to the epidemic. One that may be older than what is committed by now isn't: a dispatcher that
// has just started would take it.
func (n *Node) gossipConfig() {
	if current := n.engine.machine.Config(); current.Version > 0 {
		n.gossip(internalapi.KeyConfig, current.Version, current.Body)
	}
}
