package control

import (
	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/state"
)

// applied takes in a committed command.
func (n *Node) applied(result state.Result) {
	n.counts.applied(&result)
	n.checkResult(&result)
	n.commits.note(n.now())
	if result.Command.Kind == state.KindConfigReplaced && result.Outcome == state.Applied {
		n.configStale = true
	}
	n.tellOfLoss(&result)
	if n.scheduler != nil {
		n.scheduler.Applied(n.now(), result)
	}
}

// takeConfig puts the newest of the configurations in force that a batch of commits, or a backlog, has brought; those before it are passed
// over.
func (n *Node) takeConfig() {
	if n.configStale && !n.engine.catchingUp() {
		n.configTaken()
	}
}

// installed takes in that a snapshot took the place of the state.
func (n *Node) installed() {
	n.dropScheduler()
	n.configTaken()
}

// configTaken puts the newest committed configuration in force here and, unless it may be an old one, gives it to the epidemic.
func (n *Node) configTaken() {
	n.configStale = false
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
		n.spreadConfig()
	}
}

// spreadConfig gives the configuration in force to the epidemic. One that may be older than what is committed by now isn't: a dispatcher that
// has just started would take it.
func (n *Node) spreadConfig() {
	if current := n.engine.machine.Config(); current.Version > 0 {
		n.spread(internalapi.KeyConfig, current.Version, current.Body)
	}
}
