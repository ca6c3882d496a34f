package replica

import (
	"errors"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// Defaults of Config.
const (
	DefaultGrant          = 800 * time.Millisecond
	DefaultHeartbeatEvery = 150 * time.Millisecond
	DefaultDropAfter      = 700 * time.Millisecond
	DefaultKeepEntries    = 20_000
	DefaultKeepBytes      = 8 << 20
)

// Timings that follow from nothing else.
const (
	electionStagger   = 120 * time.Millisecond // between the candidacies of neighbours in the chain
	electionJitter    = 30 * time.Millisecond
	electionPatience  = 60 * time.Millisecond // for members that a majority's promise overtook
	electionUnheard   = 150 * time.Millisecond
	ballotRepeat      = 60 * time.Millisecond
	governEvery       = 40 * time.Millisecond
	governSoon        = 5 * time.Millisecond // while a change is on its way
	joinEvery         = 200 * time.Millisecond
	joinFirstEvery    = 50 * time.Millisecond // while no view is known: others may just be starting
	leaveNoticeEvery  = 100 * time.Millisecond
	drainAtMost       = 150 * time.Millisecond
	holdAtMost        = 300 * time.Millisecond
	holdAgainAfter    = 300 * time.Millisecond
	admitAfter        = 600 * time.Millisecond // a new head began to act
	holdWithin        = 512                    // entries that a learner may lack when writes are held back for it
	stuckNoReads      = 250 * time.Millisecond
	voterGoneAfter    = 2 * time.Second
	refusedRefresh    = time.Second
	newsAtMostEvery   = 10 * time.Millisecond
	frozenAfter       = 350 * time.Millisecond // between two steps
	frozenPatience    = 200 * time.Millisecond
	leastPause        = 3 * time.Millisecond  // that a step may come late without being held up
	wakeAtLeastEvery  = 50 * time.Millisecond // the finer, the less of a pause goes unnoticed
	penaltyFirst      = 2 * time.Second
	penaltyMost       = 16 * time.Second
	penaltyForgiven   = time.Minute
	penaltyProof      = 2 * time.Second        // of prompt acknowledgements, at most
	promptAgain       = 500 * time.Millisecond // before writes are held back for a learner once more
	learnerHeardSince = 400 * time.Millisecond
)

// inTouch is how many heartbeats' time after an answer a member counts as in touch; after more it was silent.
const inTouch = 2

// How a head tells whether its own disk is slower than others'.
const (
	aheadPart = 2                // others have to be ahead for this part of StallAfter
	paceKept  = 10 * time.Second // for which a slow sync here is granted to others as well
)

// earlyKept bounds the messages kept for the chain while a view is on its way to disk.
const earlyKept = 256

// Config is a replica's settings. Zero times and sizes take the defaults.
type Config struct {
	Self           view.Member // ID: the identity for an empty disk
	Genesis        *view.View  // first start of the whole system with an empty disk; else nil
	Tolerance      int         // f: nothing commits while the chain is shorter than f+1
	Grant          time.Duration
	HeartbeatEvery time.Duration
	DropAfter      time.Duration // silence after which the head drops a member
	// StallAfter is how long an entry may wait for one member, or the own disk for a sync, until that member is dropped; DropAfter if 0.
	StallAfter  time.Duration
	KeepEntries int // delivered entries kept in memory for members that return
	KeepBytes   int
	Seed        uint64 // random, another one in each life
}

func (c *Config) fill() {
	fillZero(&c.Grant, DefaultGrant)
	fillZero(&c.HeartbeatEvery, DefaultHeartbeatEvery)
	fillZero(&c.DropAfter, DefaultDropAfter)
	fillZero(&c.StallAfter, c.DropAfter)
	fillZero(&c.KeepEntries, DefaultKeepEntries)
	fillZero(&c.KeepBytes, DefaultKeepBytes)
}

func fillZero[T comparable](value *T, preset T) {
	var zero T
	if *value == zero {
		*value = preset
	}
}

// Why Propose refuses. Nothing has been appended then; it may do later.
var (
	ErrNotHead = errors.New("this replica isn't the head or has no lease")
	ErrHeld    = errors.New("writes are held back for a change of the view")
	ErrShort   = errors.New("the chain is too short to commit")
)

// Output is what a Step asks for. Records are to be appended to the log and synced in order, then Synced is to be
// told with Token; messages that depend on it are held back until then. Nothing in an Output may be changed.
type Output struct {
	Send         []Envelope
	Persist      []Record
	Token        uint64 // with Persist
	Install      *chain.Snapshot
	Committed    []chain.Entry // to apply after Install, in order
	NeedSnapshot bool          // SnapshotReady is wanted
	Events       []Event
	Wake         time.Duration // when to Tick at the latest
	Fault        error         // an invariant is broken: stop this process
}
