package control

import "gaugeslip/internal/system/state"

// listFailuresTold is how many readings of the platform's list have to fail in turn until the log says so, once.
const listFailuresTold = 5

// listNotRead takes note of a reading of the platform's list that failed.
func (n *Node) listNotRead(err error) {
	if n.listFailures == listFailuresTold {
		n.logger.Warn("platform's list not read", "failures", n.listFailures, "error", err)
		return
	}
	n.logger.Debug("platform's list not read", "failures", n.listFailures, "error", err)
}

// listRead takes note of a reading that did well.
func (n *Node) listRead() {
	if n.listFailures >= listFailuresTold {
		n.logger.Info("platform's list read again", "failures", n.listFailures)
	}
	n.listFailures = 0
}

// tellOfLoss logs, at the head, that a worker's runs were given up; a worker without runs is only forgotten.
func (n *Node) tellOfLoss(result *state.Result) {
	if result.Command.Kind != state.KindWorkerLost || len(result.Jobs) == 0 || !n.schedulerActive {
		return
	}
	n.logger.Warn("worker lost", "worker", result.Command.WorkerLost, "jobs", len(result.Jobs))
}
