// Package chain replicates a log of opaque entries along the chain of one view. The head appends. Every member
// forwards entries to its successor at once, stores them, and acknowledges what is on its own disk and acknowledged
// by its successor. At a new view the package reconciles the logs of neighbours. It lets learners catch up by entries
// or by a snapshot.
//
// A Chain does no I/O, reads no clock and starts no goroutine; it passes what to send and to store to the Environment.
// The predecessor's log is authoritative for its successor: every member of a chain holds all committed entries, so
// a successor may drop any entry that its predecessor does not hold.
package chain

import (
	"errors"
	"fmt"
	"time"

	"gaugeslip/coord/view"
)

// Timings. They are short compared with the time after which the head removes a member from the chain.
const (
	helloInterval          = 60 * time.Millisecond
	transferTimeout        = 300 * time.Millisecond
	probeAfter             = 100 * time.Millisecond
	commitNoticeDelay      = 5 * time.Millisecond
	sessionRestartInterval = 20 * time.Millisecond
)

// sessionBits is the number of low bits of a session number that hold the session counter; the higher bits hold the
// incarnation.
const sessionBits = 20

// ErrDiverged reports that a log contradicts committed entries. The replica must stop.
var ErrDiverged = errors.New("log contradicts committed entries")

// Environment carries out the decisions of a Chain.
type Environment interface {
	// Send sends a message to a neighbour. The message may be lost.
	Send(to view.Member, body *Body)
	// Store writes entries to disk. They replace all stored entries from the first one's index on.
	Store(entries []Entry)
	// StoreTruncate removes all entries after index from disk.
	StoreTruncate(index uint64)
	// StoreSnapshot replaces the whole log on disk.
	StoreSnapshot(snapshot Snapshot)
	// Deliver passes on committed entries, each once and in order.
	Deliver(entries []Entry)
	// Install replaces the state of the state machine with a snapshot.
	Install(snapshot Snapshot)
	// Fail reports a violated invariant.
	Fail(err error)
}

// Config holds the parameters of a Chain.
type Config struct {
	Life        uint64 // the replica's incarnation, different after each restart
	KeepEntries int    // number of delivered entries kept in memory
	KeepBytes   int    // bytes of delivered entries kept in memory
}

// Role is a replica's position in a view.
type Role struct {
	Epoch      uint64
	Head       bool
	Upstream   view.Member  // the predecessor; for a learner the head
	Downstream *view.Member // the successor; nil at the tail and at a learner
}

// Chain is one replica's part of the replication protocol. It is not safe for concurrent use.
type Chain struct {
	cfg          Config
	env          Environment
	log          Log
	synced       uint64        // last index on disk
	pendingSyncs []pendingSync // stored, but not yet reported as on disk
	committed    uint64
	delivered    uint64

	active     bool
	role       Role
	inStep     bool // holds all that the predecessor held when the session of this epoch opened
	downstream *link
	learners   []*link

	session         uint64 // current session with the predecessor
	sessionCounter  uint64
	sessionOpen     bool             // the predecessor has sent the Append with Start
	helloTimerStart time.Duration    // when the last Hello was sent or the last chunk received
	target          uint64           // last index that this replica must hold to be in step
	ackSent         uint64           // index of the last Ack sent
	unackedBytes    int              // bytes appended since the last Ack
	incoming        incomingSnapshot // the snapshot being received

	commitNoticeAt  time.Duration // when to send the commit index without entries; 0: not scheduled
	offeredSnapshot *Snapshot     // set only while Offer runs
}

// pendingSync records that the log up to last is on disk once the records of token are.
type pendingSync struct {
	token uint64
	last  uint64
}

// New returns a Chain that starts with the given log. All entries of the log must be on disk, and the state machine must
// have applied everything up to the log's base.
func New(cfg Config, env Environment, log Log) *Chain {
	return &Chain{cfg: cfg, env: env, log: log, synced: log.Last(), committed: log.Base(), delivered: log.Base()}
}

// RestoreCommitted restores the commit index that was read from disk and delivers the entries up to it. Committed entries never change, so this is
// valid whatever view is in force by now.
func (c *Chain) RestoreCommitted(committed uint64) {
	c.committed = max(c.committed, min(committed, c.log.Last()))
	c.deliver()
}

// Log returns the log. The caller may only read from it.
func (c *Chain) Log() *Log { return &c.log }

// Committed returns the last index known to be committed.
func (c *Chain) Committed() uint64 { return c.committed }

// Synced returns the last index on this replica's disk.
func (c *Chain) Synced() uint64 { return c.synced }

// InStep reports whether this replica is the head, or in this epoch has received all that its predecessor held when their session opened.
func (c *Chain) InStep() bool { return c.active && c.inStep }

// LeaveView stops all work on the current view.
func (c *Chain) LeaveView() {
	c.active, c.inStep, c.sessionOpen = false, false, false
	c.downstream, c.learners = nil, nil
	c.commitNoticeAt = 0
}

// EnterView starts work in a view with the given role. The view must be on disk.
func (c *Chain) EnterView(now time.Duration, role Role) {
	c.LeaveView()
	c.role = role
	c.active, c.inStep = true, role.Head
	c.ackSent = 0
	if role.Downstream != nil {
		c.downstream = &link{peer: *role.Downstream, lastActivityAt: now, heardAt: now}
		c.send(c.downstream.peer, &Body{Probe: &Probe{Last: c.log.Last()}})
	}
	if !role.Head {
		c.startSession(now)
	}
}

// Append adds entries at the head and returns the index of the first one.
func (c *Chain) Append(now time.Duration, data [][]byte) uint64 {
	first := c.log.Last() + 1
	for _, d := range data {
		c.log.Append(Entry{Index: c.log.Last() + 1, Epoch: c.role.Epoch, Data: d})
	}
	entries, _ := c.log.Slice(first, int(^uint(0)>>1))
	c.env.Store(entries)
	c.sendEntriesToAll(now)
	return first
}

// AssignSyncToken assigns a token to everything stored so far: it is on disk once SyncedTo is called with this token or a later one.
func (c *Chain) AssignSyncToken(token uint64) {
	c.pendingSyncs = append(c.pendingSyncs, pendingSync{token, c.log.Last()})
}

// SyncedTo notes that the records of all tokens up to this one are on disk.
func (c *Chain) SyncedTo(now time.Duration, token uint64) {
	done := 0
	for done < len(c.pendingSyncs) && c.pendingSyncs[done].token <= token {
		c.synced = max(c.synced, c.pendingSyncs[done].last)
		done++
	}
	c.pendingSyncs = append(c.pendingSyncs[:0], c.pendingSyncs[done:]...)
	c.acknowledge(now)
	if c.sessionOpen && c.unackedBytes >= windowBytes/4 {
		c.sendAck(c.Acked())
	}
}

// truncate drops all entries after index. It reports ErrDiverged instead of dropping committed entries.
func (c *Chain) truncate(now time.Duration, index uint64) {
	if index >= c.log.Last() {
		return
	}
	if index < c.committed {
		c.env.Fail(fmt.Errorf("truncate to %d below committed index %d in epoch %d: %w", index, c.committed, c.role.Epoch, ErrDiverged))
		return
	}
	c.log.Truncate(index)
	c.env.StoreTruncate(index)
	c.capSynced(index)
	if c.downstream != nil {
		c.downstream.invalidateAfter(index)
		c.send(c.downstream.peer, &Body{Probe: &Probe{Last: index}})
	}
}

// capSynced lowers the synced index and all pending syncs to index: a dropped entry must not count as on disk when another
// entry or a snapshot takes its place.
func (c *Chain) capSynced(index uint64) {
	c.synced = min(c.synced, index)
	for i := range c.pendingSyncs {
		c.pendingSyncs[i].last = min(c.pendingSyncs[i].last, index)
	}
}

// Acked returns the last index known to be on disk here and at all successors. It is 0 where a successor is configured but there is no
// link to it.
func (c *Chain) Acked() uint64 {
	if c.role.Downstream == nil {
		return c.synced
	}
	if c.downstream == nil {
		return 0
	}
	return min(c.synced, c.downstream.acked)
}

// Commit advances the head's commit index to the last index that all members have on disk. The caller must hold the lease.
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
	if c.commitNoticeAt == 0 {
		c.commitNoticeAt = now + commitNoticeDelay
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
