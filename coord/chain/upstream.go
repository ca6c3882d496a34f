package chain

import (
	"fmt"
	"time"
)

// startSession gives up the current session and asks the predecessor for a new one.
func (c *Chain) startSession(now time.Duration) {
	c.sessionCounter++
	c.session = c.cfg.Life<<sessionBits | c.sessionCounter&(1<<sessionBits-1)
	c.sessionOpen = false
	c.incoming = incomingSnapshot{}
	c.sendHello(now)
}

func (c *Chain) sendHello(now time.Duration) {
	c.helloTimerStart = now
	c.send(c.role.Upstream, &Body{Hello: &Hello{Session: c.session, Runs: c.log.Runs(), Acked: c.Acked()}})
}

// restartSession asks for a new session unless it did so within sessionRestartInterval.
func (c *Chain) restartSession(now time.Duration) {
	if now-c.helloTimerStart >= sessionRestartInterval {
		c.startSession(now)
	}
}

func (c *Chain) onAppend(now time.Duration, m *Append) {
	if m.Session != c.session {
		return
	}
	if !c.sessionOpen {
		if !m.Start {
			return
		}
		c.openSession(now, m)
	}
	if m.Prev > c.log.Last() {
		c.restartSession(now)
		return
	}
	if !c.checkPrev(m) || !c.appendNew(m) {
		return
	}
	c.commitTo(now, m.Commit)
	c.checkInStep(now)
	c.sendEntriesToAll(now)
	c.acknowledge(now)
}

// openSession opens the session on its first Append. It drops all entries after the point up to which the predecessor found both
// logs to be the same.
func (c *Chain) openSession(now time.Duration, m *Append) {
	c.truncate(now, m.Prev)
	c.sessionOpen = true
	c.target = m.Target
	c.ackSent, c.unackedBytes = 0, 0
}

// checkInStep marks this replica as in step once it holds all that its predecessor held, and then answers the successor's
// pending Hello. If it answered with fewer entries, the successor would drop entries that it must keep.
func (c *Chain) checkInStep(now time.Duration) {
	if c.inStep || c.log.Last() < c.target {
		return
	}
	c.inStep = true
	if c.downstream != nil && c.downstream.pendingHello != nil {
		hello := c.downstream.pendingHello
		c.downstream.pendingHello = nil
		c.answerHello(now, c.downstream, hello)
	}
}

// checkPrev reports whether the entry before the message's first one is the same here and at the predecessor. It reports true
// if this log no longer holds that entry.
func (c *Chain) checkPrev(m *Append) bool {
	epoch, ok := c.log.EpochAt(m.Prev)
	if ok && epoch != m.PrevEpoch {
		c.env.Fail(fmt.Errorf("entry %d has epoch %d here, epoch %d at the predecessor: %w", m.Prev, epoch, m.PrevEpoch, ErrDiverged))
		return false
	}
	return true
}

// appendNew appends and stores the entries of a message that this log does not hold yet. It reports false if an entry that it
// holds has another epoch.
func (c *Chain) appendNew(m *Append) bool {
	first := c.log.Last() + 1
	for _, e := range m.Entries {
		if e.Index < first {
			if epoch, ok := c.log.EpochAt(e.Index); ok && epoch != e.Epoch {
				c.env.Fail(fmt.Errorf("entry %d has epoch %d here, received with epoch %d: %w", e.Index, epoch, e.Epoch, ErrDiverged))
				return false
			}
			continue
		}
		c.unackedBytes += e.size()
		c.log.Append(e)
	}
	if entries, _ := c.log.Slice(first, int(^uint(0)>>1)); len(entries) > 0 {
		c.env.Store(entries)
	}
	return true
}

// acknowledge sends an Ack to the predecessor if the last index on disk here and at all successors has grown since the last Ack.
func (c *Chain) acknowledge(now time.Duration) {
	if !c.active || c.role.Head || !c.sessionOpen {
		return
	}
	if acked := c.Acked(); acked > c.ackSent {
		c.sendAck(acked)
	}
}

func (c *Chain) sendAck(acked uint64) {
	c.ackSent, c.unackedBytes = acked, 0
	c.send(c.role.Upstream, &Body{Ack: &Ack{Session: c.session, Index: acked, Stored: c.synced}})
}

func (c *Chain) onProbe(now time.Duration, m *Probe) {
	if m.Session != c.session {
		if c.sessionOpen {
			c.restartSession(now)
		}
		return
	}
	if !c.sessionOpen {
		return
	}
	if m.Last > c.log.Last() {
		c.restartSession(now)
		return
	}
	c.sendAck(c.Acked())
}
