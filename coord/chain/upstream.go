package chain

import (
	"fmt"
	"time"
)

// hello opens a new session with the predecessor.
func (c *Chain) hello(now time.Duration) {
	c.sessions++
	c.session = c.cfg.Life<<sessionBits | c.sessions&(1<<sessionBits-1)
	c.opened = false
	c.incoming = incoming{}
	c.repeatHello(now)
}

func (c *Chain) repeatHello(now time.Duration) {
	c.helloAt = now
	c.send(c.role.Upstream, &Body{Hello: &Hello{Session: c.session, Runs: c.log.Runs(), Acked: c.Acked()}})
}

// rehello opens a new session unless one has just been asked for.
func (c *Chain) rehello(now time.Duration) {
	if now-c.helloAt >= rehelloAfter {
		c.hello(now)
	}
}

func (c *Chain) onAppend(now time.Duration, m *Append) {
	if m.Session != c.session {
		return
	}
	if !c.opened {
		if !m.Start {
			return
		}
		c.start(now, m)
	}
	if m.Prev > c.log.Last() {
		c.rehello(now)
		return
	}
	if !c.follows(m) || !c.take(m) {
		return
	}
	c.commitTo(now, m.Commit)
	c.settle(now)
	c.pumpAll(now)
	c.acknowledge(now)
}

// start takes the predecessor's word on where the logs part.
func (c *Chain) start(now time.Duration, m *Append) {
	c.truncate(now, m.Prev)
	c.opened = true
	c.target = m.Target
	c.ackSent, c.owed = 0, 0
}

// settle lets the successor in once this replica has all that its predecessor had: with less, the successor would
// be made to drop what it needs.
func (c *Chain) settle(now time.Duration) {
	if c.inStep || c.log.Last() < c.target {
		return
	}
	c.inStep = true
	if c.down != nil && c.down.early != nil {
		hello := c.down.early
		c.down.early = nil
		c.welcome(now, c.down, hello)
	}
}

// follows tells whether the entry before a message's first one is the same here and there, as far as it is still held.
func (c *Chain) follows(m *Append) bool {
	epoch, ok := c.log.EpochAt(m.Prev)
	if ok && epoch != m.PrevEpoch {
		c.env.Fail(fmt.Errorf("entry %d is of epoch %d, of %d at the predecessor: %w", m.Prev, epoch, m.PrevEpoch, ErrDiverged))
		return false
	}
	return true
}

// take appends what is new of a message.
func (c *Chain) take(m *Append) bool {
	first := c.log.Last() + 1
	for _, e := range m.Entries {
		if e.Index < first {
			if epoch, ok := c.log.EpochAt(e.Index); ok && epoch != e.Epoch {
				c.env.Fail(fmt.Errorf("entry %d of epoch %d came as of epoch %d: %w", e.Index, epoch, e.Epoch, ErrDiverged))
				return false
			}
			continue
		}
		c.owed += e.size()
		c.log.Append(e)
	}
	if entries, _ := c.log.Slice(first, int(^uint(0)>>1)); len(entries) > 0 {
		c.env.Store(entries)
	}
	return true
}

// acknowledge tells the predecessor what is on disk here and at all successors, if that is more than it knows.
func (c *Chain) acknowledge(now time.Duration) {
	if !c.active || c.role.Head || !c.opened {
		return
	}
	if acked := c.Acked(); acked > c.ackSent {
		c.sendAck(acked)
	}
}

func (c *Chain) sendAck(acked uint64) {
	c.ackSent, c.owed = acked, 0
	c.send(c.role.Upstream, &Body{Ack: &Ack{Session: c.session, Index: acked, Stored: c.synced}})
}

func (c *Chain) onProbe(now time.Duration, m *Probe) {
	if m.Session != c.session {
		if c.opened {
			c.rehello(now)
		}
		return
	}
	if !c.opened {
		return
	}
	if m.Last > c.log.Last() {
		c.rehello(now)
		return
	}
	c.sendAck(c.Acked())
}
