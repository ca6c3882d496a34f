package control

import (
	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/state"
)

// commandApplied handles the result of a committed command.
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

// applyPendingConfig puts the newest configuration in force after a batch of commits or a backlog, and skips the versions before it.
func (n *Node) applyPendingConfig() {
	if n.configPending && !n.engine.catchingUp() {
		n.applyConfig()
	}
}

// snapshotInstalled handles the replacement of the state by a snapshot.
func (n *Node) snapshotInstalled() {
	n.dropScheduler()
	n.applyConfig()
}

// applyConfig puts the newest committed configuration in force here. It gossips the configuration unless it may be outdated.
func (n *Node) applyConfig() {
	n.configPending = false
	current := n.engine.machine.Config()
	if current.Version == 0 {
		return
	}
	parsed, err := clusterconfig.Parse(current.Body)
	if err != nil {
		n.logger.Error("cannot parse committed configuration", "version", current.Version, "error", err)
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

// gossipConfig gossips the configuration in force. Callers must not gossip one that may be older than the newest committed version: a
// dispatcher that has just started would use it.
func (n *Node) gossipConfig() {
	if current := n.engine.machine.Config(); current.Version > 0 {
		n.gossip(internalapi.KeyConfig, current.Version, current.Body)
	}
}
