package chain

import (
	"math"
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// never is a time that is never reached.
const never = time.Duration(math.MaxInt64)

// learnerTimeout is how long a learner may send nothing before it is removed. Reading a large snapshot takes a learner seconds, during
// which it sends nothing and still needs the log kept.
const learnerTimeout = 10 * time.Second

// Receive handles a message of the current epoch.
func (c *Chain) Receive(now time.Duration, from view.Member, body *Body) {
	if !c.active {
		return
	}
	upstream := !c.role.Head && from.ID == c.role.Upstream.ID
	switch {
	case body.Append != nil && upstream:
		c.onAppend(now, body.Append)
	case body.Probe != nil && upstream:
		c.onProbe(now, body.Probe)
	case body.Chunk != nil && upstream:
		c.onChunk(now, body.Chunk)
	case body.Ack != nil:
		c.onAck(now, from, body.Ack)
	case body.Hello != nil:
		c.onHello(now, from, body.Hello)
	case body.ChunkAck != nil:
		c.onChunkAck(now, from, body.ChunkAck)
	}
}

// Tick runs the timers that are due.
func (c *Chain) Tick(now time.Duration) {
	if !c.active {
		return
	}
	if !c.role.Head && !c.sessionOpen && now >= c.helloDue() {
		c.sendHello(now)
	}
	if c.commitNoticeAt != 0 && now >= c.commitNoticeAt {
		c.commitNoticeAt = 0
		c.forEachLink(func(l *link) { c.sendCommitNotice(now, l) })
	}
	c.forEachLink(func(l *link) { c.retransmit(now, l) })
	c.learners = slices.DeleteFunc(c.learners, func(l *link) bool { return now-l.heardAt > learnerTimeout })
}

// Wake returns the time at which Tick must next be called.
func (c *Chain) Wake() time.Duration {
	if !c.active {
		return never
	}
	at := never
	if !c.role.Head && !c.sessionOpen {
		at = c.helloDue()
	}
	if c.commitNoticeAt != 0 {
		at = min(at, c.commitNoticeAt)
	}
	c.forEachLink(func(l *link) { at = min(at, retransmitDue(l)) })
	return at
}

func (c *Chain) helloDue() time.Duration {
	if c.incoming.hasData() {
		return c.helloTimerStart + 2*transferTimeout
	}
	return c.helloTimerStart + helloInterval
}

func (c *Chain) forEachLink(do func(*link)) {
	if c.downstream != nil {
		do(c.downstream)
	}
	for _, l := range c.learners {
		do(l)
	}
}

// sendCommitNotice sends the commit index to a peer to which no entries have carried it.
func (c *Chain) sendCommitNotice(now time.Duration, l *link) {
	if l.session != 0 && l.transfer == nil && !l.needsSnapshot && l.sentCommit < c.committed && l.next > c.log.Base() {
		c.sendBatch(now, l, false)
	}
}

func retransmitDue(l *link) time.Duration {
	switch {
	case l.transfer != nil:
		return l.transfer.lastProgressAt + transferTimeout
	case l.hasUnacknowledged():
		return l.lastActivityAt + probeAfter
	}
	return never
}

// retransmit sends unacknowledged chunks again, or probes the peer for an acknowledgement of entries, if that is due.
func (c *Chain) retransmit(now time.Duration, l *link) {
	if now < retransmitDue(l) {
		return
	}
	if l.transfer != nil {
		l.transfer.sent = l.transfer.acked
		c.sendChunks(now, l)
		return
	}
	l.lastActivityAt = now
	c.send(l.peer, &Body{Probe: &Probe{Session: l.session, Last: l.next - 1}})
}
