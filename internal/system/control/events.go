package control

import (
	"time"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
)

// listFailuresTold is how many readings of the platform's list have to fail in turn until the log says so, once.
const listFailuresTold = 5

// listNotRead takes note of a reading of the platform's list that failed.
func (n *Node) listNotRead(err error) {
	if n.platform.failures == listFailuresTold {
		n.logger.Warn("platform's list not read", "failures", n.platform.failures, "error", err)
		return
	}
	n.logger.Debug("platform's list not read", "failures", n.platform.failures, "error", err)
}

// listRead takes note of a reading that did well.
func (n *Node) listRead() {
	if n.platform.failures >= listFailuresTold {
		n.logger.Info("platform's list read again", "failures", n.platform.failures)
	}
	n.platform.failures = 0
}

// tellOfLoss logs, at the head, that a worker's runs were given up; a worker without runs is only forgotten.
func (n *Node) tellOfLoss(result *state.Result) {
	if result.Command.Kind != state.KindWorkerLost || len(result.Jobs) == 0 || !n.schedulerActive {
		return
	}
	n.logger.Warn("worker lost", "worker", result.Command.WorkerLost, "jobs", len(result.Jobs))
}

// tellOfView logs a view that has come into force, and who fell out of its chain and who came in. They are named by their disks'
// identities: a replica that lost its disk leaves under one and comes in under another, at the same address.
func (n *Node) tellOfView(newest view.View, cause replica.Cause) {
	before := n.seenView
	n.seenView = newest
	line := []any{"epoch", newest.Epoch, "chain", addresses(newest.Chain), "voters", len(newest.Voters),
		"left", missing(before.Chain, &newest), "joined", missing(newest.Chain, &before)}
	n.logger.Info("view", append(line, figuresOf(cause)...)...)
}

// missing are the identities of the members that aren't in the chain of a view.
func missing(members []view.Member, from *view.View) []view.ReplicaID {
	var gone []view.ReplicaID
	for _, member := range members {
		if !from.InChain(member.ID) {
			gone = append(gone, member.ID)
		}
	}
	return gone
}

// leastPause is the shortest time without a commit that counts as a pause.
const leastPause = 50 * time.Millisecond

// commitPauses keeps the last time for which nothing was committed here. A head tells of it when it takes office: by then what its
// predecessor has left is committed already.
type commitPauses struct {
	last      time.Duration // when something committed was applied last
	pause     time.Duration
	pauseOver time.Duration
}

// note takes in that something committed was applied.
func (c *commitPauses) note(now time.Duration) {
	if pause := now - c.last; pause >= leastPause {
		c.pause, c.pauseOver = pause, now
	}
	c.last = now
}

// quiet is how long the pause lasts, or the one that is just over.
func (c *commitPauses) quiet(now time.Duration) time.Duration {
	quiet := now - c.last
	if c.pause > 0 && now-c.pauseOver < leastPause {
		quiet = c.pause
	}
	return quiet.Round(time.Millisecond)
}

// tellOfDisk logs what the log on disk held; an empty one, other than at the very first start, is a disk that was lost or is new.
func (n *Node) tellOfDisk(records int, bytes int64) {
	if records == 0 && !n.settings.Bootstrap {
		n.logger.Warn("disk is empty, joining as a new replica", "id", n.engine.replica.Self().ID)
		return
	}
	n.logger.Info("log read", "records", records, "bytes", bytes, "applied", n.engine.appliedTo)
}

// tellOfBacklog logs that what was committed before this replica came back is applied.
func (n *Node) tellOfBacklog(entries int, took time.Duration) {
	n.logger.Info("backlog applied", "entries", entries, "took", took.Round(time.Millisecond), "applied", n.engine.appliedTo)
}

// tellOfWaits logs, at the head, tasks that have waited for long, and for what: loudly what was found forgotten, quietly those that are
// held for a reason.
func (n *Node) tellOfWaits(findings []scheduler.Finding) {
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
