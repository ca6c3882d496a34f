// Package chain replicates a log of opaque entries along the chain of one view: the head appends, every member
// forwards to its successor at once and stores, and acknowledges what is on its own disk and acknowledged by its
// successor. It brings neighbours into step at a new view and lets learners catch up, by entries or by a snapshot.
//
// A Chain does no I/O, reads no clock and starts no goroutine; the Environment is told what to send and to store.
// A predecessor's log is right for its successor: every member of a chain holds all that is committed, so what a
// predecessor hasn't got can be dropped.
package chain

import (
	"errors"
	"fmt"
	"time"

	"gaugeslip/coord/view"
)

// Timings. They are short against the bounds by which the head drops a member.
const (
	helloEvery    = 60 * time.Millisecond
	transferStall = 300 * time.Millisecond
	probeAfter    = 100 * time.Millisecond
	commitDelay   = 5 * time.Millisecond
	rehelloAfter  = 20 * time.Millisecond
)

// sessionBits is the number of low bits of a session that count; the rest is the life.
const sessionBits = 20

// ErrDiverged says that a log contradicts what has been committed: the replica must not go on.
var ErrDiverged = errors.New("log contradicts what is committed")

// Environment carries out what a Chain decides.
type Environment interface {
	// Send hands a message to a neighbour. It may get lost.
	Send(to view.Member, body *Body)
	// Store puts entries on disk; entries held from the first one's index on are replaced.
	Store(entries []Entry)
	// StoreTruncate drops all after index from disk.
	StoreTruncate(index uint64)
	// StoreSnapshot replaces the whole log on disk.
	StoreSnapshot(snapshot Snapshot)
	// Deliver gives committed entries, each once and in order.
	Deliver(entries []Entry)
	// Install replaces the state machine by a snapshot.
	Install(snapshot Snapshot)
	// Fail reports that an invariant is broken.
	Fail(err error)
}

// Config holds the figures of a Chain.
type Config struct {
	Life        uint64 // differs between the lives of a replica
	KeepEntries int    // delivered entries kept in memory
	KeepBytes   int
}

// Role is a replica's place in a view.
type Role struct {
	Epoch      uint64
	Head       bool
	Upstream   view.Member  // predecessor; for a learner the head
	Downstream *view.Member // successor, nil at the tail and at a learner
}

// Chain is one replica's part.
type Chain struct {
	cfg       Config
	env       Environment
	log       Log
	synced    uint64 // last index on disk
	marks     []mark // what is on its way to disk
	committed uint64
	delivered uint64

	active   bool
	role     Role
	inStep   bool // this epoch's log has been settled with the predecessor
	down     *link
	learners []*link

	session  uint64 // with the predecessor
	sessions uint64
	opened   bool
	helloAt  time.Duration
	target   uint64 // to be in step
	ackSent  uint64
	owed     int      // bytes taken since the last Ack
	incoming incoming // the snapshot that comes in

	noteAt time.Duration // when to send the commit index by itself; 0: not
	snap   *Snapshot     // for learners
}

// mark says that the log up to last is on disk once the records of token are.
type mark struct {
	token uint64
	last  uint64
}

// New makes a chain from a log whose entries are all on disk; its base is applied already.
func New(cfg Config, env Environment, log Log) *Chain {
	return &Chain{cfg: cfg, env: env, log: log, synced: log.Last(), committed: log.Base(), delivered: log.Base()}
}

// RestoreCommitted takes the disk's word on how far the log is committed and delivers that much. What is committed never changes, whatever view is
// in force by now.
func (c *Chain) RestoreCommitted(committed uint64) {
	c.committed = max(c.committed, min(committed, c.log.Last()))
	c.deliver()
}

// Log gives the log to read from.
func (c *Chain) Log() *Log { return &c.log }

// Committed is the last index known to be committed.
func (c *Chain) Committed() uint64 { return c.committed }

// Synced is the last index on the disk here.
func (c *Chain) Synced() uint64 { return c.synced }

// InStep tells whether the log has been settled with the predecessor in this epoch.
func (c *Chain) InStep() bool { return c.active && c.inStep }

// LeaveView stops all work on the present view.
func (c *Chain) LeaveView() {
	c.active, c.inStep, c.opened = false, false, false
	c.down, c.learners = nil, nil
	c.noteAt = 0
}

// EnterView takes a place in a view. The view has to be on disk.
func (c *Chain) EnterView(now time.Duration, role Role) {
	c.LeaveView()
	c.role = role
	c.active, c.inStep = true, role.Head
	c.ackSent = 0
	if role.Downstream != nil {
		c.down = &link{peer: *role.Downstream, quietSince: now, heardAt: now}
		c.send(c.down.peer, &Body{Probe: &Probe{Last: c.log.Last()}})
	}
	if !role.Head {
		c.hello(now)
	}
}

// Append adds entries at the head and gives the first one's index.
func (c *Chain) Append(now time.Duration, data [][]byte) uint64 {
	first := c.log.Last() + 1
	for _, d := range data {
		c.log.Append(Entry{Index: c.log.Last() + 1, Epoch: c.role.Epoch, Data: d})
	}
	entries, _ := c.log.Slice(first, int(^uint(0)>>1))
	c.env.Store(entries)
	c.pumpAll(now)
	return first
}

// AssignSyncToken says that what has been stored so far will be on disk with this token.
func (c *Chain) AssignSyncToken(token uint64) {
	c.marks = append(c.marks, mark{token, c.log.Last()})
}

// SyncedTo takes word that the records of all tokens up to this one are on disk.
func (c *Chain) SyncedTo(now time.Duration, token uint64) {
	done := 0
	for done < len(c.marks) && c.marks[done].token <= token {
		c.synced = max(c.synced, c.marks[done].last)
		done++
	}
	c.marks = append(c.marks[:0], c.marks[done:]...)
	c.acknowledge(now)
	if c.opened && c.owed >= windowBytes/4 {
		c.sendAck(c.Acked())
	}
}

// truncate drops all after index.
func (c *Chain) truncate(now time.Duration, index uint64) {
	if index >= c.log.Last() {
		return
	}
	if index < c.committed {
		c.env.Fail(fmt.Errorf("cut to %d below committed %d in epoch %d: %w", index, c.committed, c.role.Epoch, ErrDiverged))
		return
	}
	c.log.Truncate(index)
	c.env.StoreTruncate(index)
	c.capSynced(index)
	if c.down != nil {
		c.down.cut(index)
		c.send(c.down.peer, &Body{Probe: &Probe{Last: index}})
	}
}

func (c *Chain) capSynced(index uint64) {
	c.synced = min(c.synced, index)
	for i := range c.marks {
		c.marks[i].last = min(c.marks[i].last, index)
	}
}

// Acked is the last index on disk here and at all successors, as far as known.
func (c *Chain) Acked() uint64 {
	if c.role.Downstream == nil {
		return c.synced
	}
	if c.down == nil {
		return 0
	}
	return min(c.synced, c.down.acked)
}

// Commit moves the head's committed index up to what all have; the caller holds the lease.
func (c *Chain) Commit(now time.Duration) {
	if !c.active || !c.role.Head {
		return
	}
	c.commitTo(now, c.Acked())
}

func (c *Chain) commitTo(now time.Duration, index uint64) {
	index = min(index, c.log.Last())
	if index <= c.committed {
		return
	}
	c.committed = index
	if c.noteAt == 0 {
		c.noteAt = now + commitDelay
	}
	c.deliver()
}

func (c *Chain) deliver() {
	for c.delivered < c.committed {
		entries, _ := c.log.Slice(c.delivered+1, int(^uint(0)>>1))
		count := c.committed - c.delivered
		entries = entries[:count:count]
		c.delivered = c.committed
		c.env.Deliver(entries)
	}
	c.trim()
}

func (c *Chain) send(to view.Member, body *Body) { c.env.Send(to, body) }
