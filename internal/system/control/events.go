package control

import (
	"time"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
)

// listFailuresLogged is how many consecutive requests for the platform's list must fail before one warning is logged.
const listFailuresLogged = 5

// listReadFailed logs a failed request for the platform's list.
func (n *Node) listReadFailed(err error) {
	if n.platform.failures == listFailuresLogged {
		n.logger.Warn("platform list request failed", "failures", n.platform.failures, "error", err)
		return
	}
	n.logger.Debug("platform list request failed", "failures", n.platform.failures, "error", err)
}

// listReadSucceeded resets the failure count after a successful request.
func (n *Node) listReadSucceeded() {
	if n.platform.failures >= listFailuresLogged {
		n.logger.Info("platform list request succeeded again", "failures", n.platform.failures)
	}
	n.platform.failures = 0
}

// logWorkerLost logs, at the head, that the runs of a worker were given up. A worker without runs is not logged.
func (n *Node) logWorkerLost(result *state.Result) {
	if result.Command.Kind != state.KindWorkerLost || len(result.Jobs) == 0 || !n.schedulerActive {
		return
	}
	n.logger.Warn("worker lost", "worker", result.Command.WorkerLost, "jobs", len(result.Jobs))
}

// logView logs a view that has come into force, with the members that left and joined its chain. They are named by the identities of their
// disks: a replica that lost its disk leaves under one identity and joins under another, at the same address.
func (n *Node) logView(newest view.View, cause replica.Cause) {
	before := n.loggedView
	n.loggedView = newest
	line := []any{"epoch", newest.Epoch, "chain", addresses(newest.Chain), "voters", len(newest.Voters),
		"left", membersNotIn(before.Chain, &newest), "joined", membersNotIn(newest.Chain, &before)}
	n.logger.Info("view", append(line, causeFields(cause)...)...)
}

// membersNotIn returns the identities of the members that are not in the chain of a view.
func membersNotIn(members []view.Member, from *view.View) []view.ReplicaID {
	var gone []view.ReplicaID
	for _, member := range members {
		if !from.InChain(member.ID) {
			gone = append(gone, member.ID)
		}
	}
	return gone
}

// minCommitPause is the shortest time without a commit that counts as a pause.
const minCommitPause = 50 * time.Millisecond

// commitPauses records the last pause of commits on this replica. A new head logs it: by then the entries inherited from its predecessor
// are committed already, so the pause may just have ended.
type commitPauses struct {
	lastCommit time.Duration // when a committed command was last applied
	pause      time.Duration
	pauseEnd   time.Duration
}

// record notes that a committed command was applied.
func (c *commitPauses) record(now time.Duration) {
	if pause := now - c.lastCommit; pause >= minCommitPause {
		c.pause, c.pauseEnd = pause, now
	}
	c.lastCommit = now
}

// pauseLength returns the length of the present pause, or of one that has just ended.
func (c *commitPauses) pauseLength(now time.Duration) time.Duration {
	quiet := now - c.lastCommit
	if c.pause > 0 && now-c.pauseEnd < minCommitPause {
		quiet = c.pause
	}
	return quiet.Round(time.Millisecond)
}

// logRestoredLog logs what the log on disk contained. An empty log, except at the very first start, means that the disk is new or was lost.
func (n *Node) logRestoredLog(records int, bytes int64) {
	if records == 0 && !n.settings.Bootstrap {
		n.logger.Warn("disk is empty, joining as a new replica", "id", n.engine.replica.Self().ID)
		return
	}
	n.logger.Info("log read", "records", records, "bytes", bytes, "applied", n.engine.appliedIndex)
}

// logBacklogApplied logs that the entries committed while this replica was away are applied.
func (n *Node) logBacklogApplied(entries int, took time.Duration) {
	n.logger.Info("backlog applied", "entries", entries, "took", took.Round(time.Millisecond), "applied", n.engine.appliedIndex)
}

// logWaitingTasks logs, at the head, tasks that have waited for long, with the reason. Tasks that the audit found forgotten are warnings,
// those held for a known reason are info or debug lines.
func (n *Node) logWaitingTasks(findings []scheduler.Finding) {
	for i := range findings {
		found := &findings[i]
		fields := []any{"task", found.Task, "waited", found.Waited.Round(time.Millisecond), "reason", found.Reason, "worker", found.Worker}
		switch {
		case found.Repaired:
			n.logger.Warn("forgotten task scheduled again", fields...)
		case found.Worker != "" || found.Refused:
			n.logger.Info("task waits", fields...)
		default:
			n.logger.Debug("task waits", fields...)
		}
	}
}
