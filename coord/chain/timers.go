package chain

import (
	"math"
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// never is a time that doesn't come.
const never = time.Duration(math.MaxInt64)

// learnerSilence is after which silence a learner is forgotten. Reading a large snapshot takes a learner seconds, in which it says nothing
// and still needs the log kept.
const learnerSilence = 10 * time.Second

// Receive takes a message of the present epoch.
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

// Tick does what is due.
func (c *Chain) Tick(now time.Duration) {
	if !c.active {
		return
	}
	if !c.role.Head && !c.opened && now >= c.helloDue() {
		c.repeatHello(now)
	}
	if c.noteAt != 0 && now >= c.noteAt {
		c.noteAt = 0
		c.eachLink(func(l *link) { c.note(now, l) })
	}
	c.eachLink(func(l *link) { c.nudge(now, l) })
	c.learners = slices.DeleteFunc(c.learners, func(l *link) bool { return now-l.heardAt > learnerSilence })
}

// Wake is when Tick has something to do.
func (c *Chain) Wake() time.Duration {
	if !c.active {
		return never
	}
	at := never
	if !c.role.Head && !c.opened {
		at = c.helloDue()
	}
	if c.noteAt != 0 {
		at = min(at, c.noteAt)
	}
	c.eachLink(func(l *link) { at = min(at, nudgeDue(l)) })
	return at
}

func (c *Chain) helloDue() time.Duration {
	if c.incoming.begun() {
		return c.helloAt + 2*transferStall
	}
	return c.helloAt + helloEvery
}

func (c *Chain) eachLink(do func(*link)) {
	if c.down != nil {
		do(c.down)
	}
	for _, l := range c.learners {
		do(l)
	}
}

// note tells the commit index where no entries did.
func (c *Chain) note(now time.Duration, l *link) {
	if l.session != 0 && l.transfer == nil && !l.wants && l.commitSent < c.committed && l.next > c.log.Base() {
		c.sendBatch(now, l, false)
	}
}

func nudgeDue(l *link) time.Duration {
	switch {
	case l.transfer != nil:
		return l.transfer.at + transferStall
	case l.owes():
		return l.quietSince + probeAfter
	}
	return never
}

// nudge repeats what seems to be lost.
func (c *Chain) nudge(now time.Duration, l *link) {
	if now < nudgeDue(l) {
		return
	}
	if l.transfer != nil {
		l.transfer.sent = l.transfer.acked
		c.pumpChunks(now, l)
		return
	}
	l.quietSince = now
	c.send(l.peer, &Body{Probe: &Probe{Session: l.session, Last: l.next - 1}})
}
