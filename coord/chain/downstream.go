package chain

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// findLink returns the link to a replica, or nil if there is none.
func (c *Chain) findLink(id view.ReplicaID) *link {
	if c.downstream != nil && c.downstream.peer.ID == id {
		return c.downstream
	}
	for _, l := range c.learners {
		if l.peer.ID == id {
			return l
		}
	}
	return nil
}

// Learner returns the last index that a learner has on disk and when it was last known to be alive. It reports false for a replica that is
// not a learner, has no session, or waits for or is receiving a snapshot.
func (c *Chain) Learner(id view.ReplicaID) (acked uint64, heardAt time.Duration, ok bool) {
	if l := c.findLink(id); l != nil && l != c.downstream && l.session != 0 && l.transfer == nil && !l.needsSnapshot {
		return l.acked, l.heardAt, true
	}
	return 0, 0, false
}

// Forget removes a learner.
func (c *Chain) Forget(id view.ReplicaID) {
	c.learners = slices.DeleteFunc(c.learners, func(l *link) bool { return l.peer.ID == id })
}

// InviteLearner notes that a learner is alive. If there is no link to the learner, it probes it so that it opens a session.
func (c *Chain) InviteLearner(now time.Duration, member view.Member) {
	if !c.active || !c.role.Head {
		return
	}
	if l := c.findLink(member.ID); l != nil {
		l.heardAt = now
		return
	}
	c.send(member, &Body{Probe: &Probe{Last: c.log.Last()}})
}

func (c *Chain) onHello(now time.Duration, from view.Member, m *Hello) {
	l := c.findLink(from.ID)
	if l == nil {
		if !c.role.Head {
			return
		}
		l = &link{peer: from, heardAt: now}
		c.learners = append(c.learners, l)
	}
	if l.stale(m.Session) || (l.session == m.Session && l.transfer != nil) {
		return
	}
	if l != c.downstream {
		l.peer, l.acked = from, 0
	}
	if !c.inStep {
		l.pendingHello = m
		return
	}
	c.answerHello(now, l, m)
}

// answerHello opens the session that a Hello asks for. It sends the entries after the point up to which both logs agree, or a snapshot if
// this log no longer reaches back that far.
func (c *Chain) answerHello(now time.Duration, l *link, m *Hello) {
	match, ok := c.log.Match(m.Runs)
	if !ok {
		l.open(now, m, 0)
		l.needsSnapshot = true
		c.startTransfer(now, l)
		return
	}
	l.open(now, m, match)
	c.sendBatch(now, l, true)
	c.sendEntries(now, l)
}

// sendBatch sends the next entries and the commit index. There may be no entries to send.
func (c *Chain) sendBatch(now time.Duration, l *link, start bool) {
	prev := l.next - 1
	epoch, _ := c.log.EpochAt(prev)
	entries, bytes := c.log.Slice(l.next, batchBytes)
	m := &Append{Session: l.session, Start: start, Prev: prev, PrevEpoch: epoch, Commit: c.committed, Entries: entries}
	l.sentCommit = c.committed
	if start {
		m.Target = c.log.Last()
	}
	if len(entries) > 0 {
		l.recordBatch(now, entries[len(entries)-1].Index, bytes)
	}
	c.send(l.peer, &Body{Append: m})
}

// sendEntries sends pending entries as far as the window allows.
func (c *Chain) sendEntries(now time.Duration, l *link) {
	if l.session == 0 || l.transfer != nil || l.needsSnapshot {
		return
	}
	if l.next <= c.log.Base() {
		l.close() // the next entry has been trimmed: the peer must open a new session
		c.send(l.peer, &Body{Probe: &Probe{Last: c.log.Last()}})
		return
	}
	for l.next <= c.log.Last() && l.inFlightBytes < windowBytes {
		c.sendBatch(now, l, false)
	}
}

func (c *Chain) sendEntriesToAll(now time.Duration) {
	if c.downstream != nil {
		c.sendEntries(now, c.downstream)
	}
	for _, l := range c.learners {
		c.sendEntries(now, l)
	}
}

func (c *Chain) onAck(now time.Duration, from view.Member, m *Ack) {
	l := c.findLink(from.ID)
	if l == nil || l.session != m.Session || m.Session == 0 {
		return
	}
	l.handleAck(now, m)
	c.sendEntries(now, l)
	c.acknowledge(now)
}

// NeedsSnapshot reports whether a learner waits for a snapshot to be offered.
func (c *Chain) NeedsSnapshot() bool {
	for _, l := range c.learners {
		if l.needsSnapshot {
			return true
		}
	}
	return false
}

// OfferSnapshot provides a snapshot, the state after all delivered entries up to index, for learners that are too far behind to catch up by
// entries. It ignores a snapshot beyond the delivered index or at an index whose epoch is no longer known.
func (c *Chain) OfferSnapshot(now time.Duration, index uint64, data []byte) {
	epoch, ok := c.log.EpochAt(index)
	if !ok || index > c.delivered {
		return
	}
	c.offeredSnapshot = &Snapshot{Index: index, Epoch: epoch, Data: data}
	for _, l := range c.learners {
		c.startTransfer(now, l)
	}
	c.offeredSnapshot = nil
}

func (c *Chain) startTransfer(now time.Duration, l *link) {
	if !l.needsSnapshot || c.offeredSnapshot == nil {
		return
	}
	l.needsSnapshot = false
	l.transfer = &transfer{snapshot: c.offeredSnapshot, sum: snapshotChecksum(c.offeredSnapshot.Data), lastProgressAt: now}
	c.sendChunks(now, l)
}

func (c *Chain) sendChunks(now time.Duration, l *link) {
	t := l.transfer
	total := len(t.snapshot.Data)
	for t.sent < total && t.sent-t.acked < chunksInFlight*chunkBytes {
		c.sendChunk(l, t.sent, min(t.sent+chunkBytes, total))
	}
	if total == 0 {
		c.sendChunk(l, 0, 0)
	}
	t.lastProgressAt = now
}

func (c *Chain) sendChunk(l *link, from, to int) {
	t := l.transfer
	t.sent = to
	c.send(l.peer, &Body{Chunk: &Chunk{Session: l.session, Index: t.snapshot.Index, Epoch: t.snapshot.Epoch,
		Offset: from, Total: len(t.snapshot.Data), Sum: t.sum, Data: t.snapshot.Data[from:to]}})
}

func (c *Chain) onChunkAck(now time.Duration, from view.Member, m *ChunkAck) {
	l := c.findLink(from.ID)
	if l == nil || l.session != m.Session || l.transfer == nil || l.transfer.snapshot.Index != m.Index {
		return
	}
	l.heardAt = now
	if m.Offset > l.transfer.acked {
		l.transfer.acked = m.Offset
		c.sendChunks(now, l)
	}
}
