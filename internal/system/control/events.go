package control

import (
	"time"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
)

// listFailuresLogged is how many readings of the platform's list have to fail in turn until the log says so, once.
const listFailuresLogged = 5

// listReadFailed takes note of a reading of the platform's list that failed.
func (n *Node) listReadFailed(err error) {
	if n.platform.failures == listFailuresLogged {
		n.logger.Warn("platform's list not read", "failures", n.platform.failures, "error", err)
		return
	}
	n.logger.Debug("platform's list not read", "failures", n.platform.failures, "error", err)
}

// listReadSucceeded takes note of a reading that did well.
func (n *Node) listReadSucceeded() {
	if n.platform.failures >= listFailuresLogged {
		n.logger.Info("platform's list read again", "failures", n.platform.failures)
	}
	n.platform.failures = 0
}

// logWorkerLost logs, at the head, that a worker's runs were given up; a worker without runs is only forgotten.
func (n *Node) logWorkerLost(result *state.Result) {
	if result.Command.Kind != state.KindWorkerLost || len(result.Jobs) == 0 || !n.schedulerActive {
		return
	}
	n.logger.Warn("worker lost", "worker", result.Command.WorkerLost, "jobs", len(result.Jobs))
}

// logView logs a view that has come into force, and who fell out of its chain and who came in. They are named by their disks'
// identities: a replica that lost its disk leaves under one and comes in under another, at the same address.
func (n *Node) logView(newest view.View, cause replica.Cause) {
	before := n.loggedView
	n.loggedView = newest
	line := []any{"epoch", newest.Epoch, "chain", addresses(newest.Chain), "voters", len(newest.Voters),
		"left", membersNotIn(before.Chain, &newest), "joined", membersNotIn(newest.Chain, &before)}
	n.logger.Info("view", append(line, causeFields(cause)...)...)
}

// membersNotIn are the identities of the members that aren't in the chain of a view.
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

// commitPauses keeps the last time for which nothing was committed here. A head tells of it when it takes office: by then what its
// predecessor has left is committed already.
type commitPauses struct {
	lastCommit time.Duration // when something committed was applied last
	pause      time.Duration
	pauseEnd   time.Duration
}

// record takes in that something committed was applied.
func (c *commitPauses) record(now time.Duration) {
	if pause := now - c.lastCommit; pause >= minCommitPause {
		c.pause, c.pauseEnd = pause, now
	}
	c.lastCommit = now
}

// pauseLength is how long the pause lasts, or the one that is just over.
func (c *commitPauses) pauseLength(now time.Duration) time.Duration {
	quiet := now - c.lastCommit
	if c.pause > 0 && now-c.pauseEnd < minCommitPause {
		quiet = c.pause
	}
	return quiet.Round(time.Millisecond)
}

// logRestoredLog logs what the log on disk held; an empty one, other than at the very first start, is a disk that was lost or is new.
func (n *Node) logRestoredLog(records int, bytes int64) {
	if records == 0 && !n.settings.Bootstrap {
		n.logger.Warn("disk is empty, joining as a new replica", "id", n.engine.replica.Self().ID)
		return
	}
	n.logger.Info("log read", "records", records, "bytes", bytes, "applied", n.engine.appliedIndex)
}

// logBacklogApplied logs that what was committed before this replica came back is applied.
func (n *Node) logBacklogApplied(entries int, took time.Duration) {
	n.logger.Info("backlog applied", "entries", entries, "took", took.Round(time.Millisecond), "applied", n.engine.appliedIndex)
}

// logWaitingTasks logs, at the head, tasks that have waited for long, and for what: loudly what was found forgotten, quietly those that are
// held for a reason.
func (n *Node) logWaitingTasks(findings []scheduler.Finding) {
	for i := range findings {
		found := &findings[i]
		fields := []any{"task", found.Task, "waited", found.Waited.Round(time.Millisecond), "reason", found.Reason, "worker", found.Worker}
		switch {
		case found.Repaired:
			n.logger.Warn("forgotten, tried again", fields...)
		case found.Worker != "" || found.Refused:
			n.logger.Info("task waits", fields...)
		default:
			n.logger.Debug("task waits", fields...)
		}
	}
}
