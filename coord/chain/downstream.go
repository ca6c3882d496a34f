package chain

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// linkOf finds the link to a replica.
func (c *Chain) linkOf(id view.ReplicaID) *link {
	if c.down != nil && c.down.peer.ID == id {
		return c.down
	}
	for _, l := range c.learners {
		if l.peer.ID == id {
			return l
		}
	}
	return nil
}

// Learner tells how much a learner has on disk and when it was heard last.
func (c *Chain) Learner(id view.ReplicaID) (acked uint64, heardAt time.Duration, ok bool) {
	if l := c.linkOf(id); l != nil && l != c.down && l.session != 0 && l.transfer == nil && !l.wants {
		return l.acked, l.heardAt, true
	}
	return 0, 0, false
}

// Forget drops a learner.
func (c *Chain) Forget(id view.ReplicaID) {
	c.learners = slices.DeleteFunc(c.learners, func(l *link) bool { return l.peer.ID == id })
}

// InviteLearner takes a learner's word that it is there, and asks it to begin where it isn't known.
func (c *Chain) InviteLearner(now time.Duration, member view.Member) {
	if !c.active || !c.role.Head {
		return
	}
	if l := c.linkOf(member.ID); l != nil {
		l.heardAt = now
		return
	}
	c.send(member, &Body{Probe: &Probe{Last: c.log.Last()}})
}

func (c *Chain) onHello(now time.Duration, from view.Member, m *Hello) {
	l := c.linkOf(from.ID)
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
	if l != c.down {
		l.peer, l.acked = from, 0
	}
	if !c.inStep {
		l.early = m
		return
	}
	c.welcome(now, l, m)
}

// welcome answers a Hello: from where the logs part, or with a snapshot.
func (c *Chain) welcome(now time.Duration, l *link, m *Hello) {
	match, ok := c.log.Match(m.Runs)
	if !ok {
		l.open(now, m, 0)
		l.wants = true
		c.offer(now, l)
		return
	}
	l.open(now, m, match)
	c.sendBatch(now, l, true)
	c.pump(now, l)
}

// sendBatch sends the next entries, which may be none.
func (c *Chain) sendBatch(now time.Duration, l *link, start bool) {
	prev := l.next - 1
	epoch, _ := c.log.EpochAt(prev)
	entries, bytes := c.log.Slice(l.next, batchBytes)
	m := &Append{Session: l.session, Start: start, Prev: prev, PrevEpoch: epoch, Commit: c.committed, Entries: entries}
	l.commitSent = c.committed
	if start {
		m.Target = c.log.Last()
	}
	if len(entries) > 0 {
		l.sent(now, entries[len(entries)-1].Index, bytes)
	}
	c.send(l.peer, &Body{Append: m})
}

// pump sends what the window lets through.
func (c *Chain) pump(now time.Duration, l *link) {
	if l.session == 0 || l.transfer != nil || l.wants {
		return
	}
	if l.next <= c.log.Base() {
		l.close() // trimmed meanwhile: it has to come again
		c.send(l.peer, &Body{Probe: &Probe{Last: c.log.Last()}})
		return
	}
	for l.next <= c.log.Last() && l.flying < windowBytes {
		c.sendBatch(now, l, false)
	}
}

func (c *Chain) pumpAll(now time.Duration) {
	if c.down != nil {
		c.pump(now, c.down)
	}
	for _, l := range c.learners {
		c.pump(now, l)
	}
}

func (c *Chain) onAck(now time.Duration, from view.Member, m *Ack) {
	l := c.linkOf(from.ID)
	if l == nil || l.session != m.Session || m.Session == 0 {
		return
	}
	l.ack(now, m)
	c.pump(now, l)
	c.acknowledge(now)
}

// NeedsSnapshot tells whether a learner waits for a snapshot that isn't there.
func (c *Chain) NeedsSnapshot() bool {
	for _, l := range c.learners {
		if l.wants {
			return true
		}
	}
	return false
}

// OfferSnapshot gives the state after all delivered entries up to index, for those that are too far behind.
func (c *Chain) OfferSnapshot(now time.Duration, index uint64, data []byte) {
	epoch, ok := c.log.EpochAt(index)
	if !ok || index > c.delivered {
		return
	}
	c.snap = &Snapshot{Index: index, Epoch: epoch, Data: data}
	for _, l := range c.learners {
		c.offer(now, l)
	}
	c.snap = nil
}

func (c *Chain) offer(now time.Duration, l *link) {
	if !l.wants || c.snap == nil {
		return
	}
	l.wants = false
	l.transfer = &transfer{snapshot: c.snap, sum: snapshotSum(c.snap.Data), at: now}
	c.pumpChunks(now, l)
}

func (c *Chain) pumpChunks(now time.Duration, l *link) {
	t := l.transfer
	total := len(t.snapshot.Data)
	for t.sent < total && t.sent-t.acked < chunksInFlight*chunkBytes {
		c.sendChunk(l, t.sent, min(t.sent+chunkBytes, total))
	}
	if total == 0 {
		c.sendChunk(l, 0, 0)
	}
	t.at = now
}

func (c *Chain) sendChunk(l *link, from, to int) {
	t := l.transfer
	t.sent = to
	c.send(l.peer, &Body{Chunk: &Chunk{Session: l.session, Index: t.snapshot.Index, Epoch: t.snapshot.Epoch,
		Offset: from, Total: len(t.snapshot.Data), Sum: t.sum, Data: t.snapshot.Data[from:to]}})
}

func (c *Chain) onChunkAck(now time.Duration, from view.Member, m *ChunkAck) {
	l := c.linkOf(from.ID)
	if l == nil || l.session != m.Session || l.transfer == nil || l.transfer.snapshot.Index != m.Index {
		return
	}
	l.heardAt = now
	if m.Offset > l.transfer.acked {
		l.transfer.acked = m.Offset
		c.pumpChunks(now, l)
	}
}
