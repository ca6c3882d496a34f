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
	electionStagger           = 120 * time.Millisecond // between the candidacies of neighbours in the chain
	electionJitter            = 30 * time.Millisecond
	lateVoteWait              = 60 * time.Millisecond // for members that a majority's promise overtook
	silentHeadElectionDelay   = 150 * time.Millisecond
	ballotRetryInterval       = 60 * time.Millisecond
	reconcileInterval         = 40 * time.Millisecond
	reconcileIntervalChanging = 5 * time.Millisecond // while a change is on its way
	joinInterval              = 200 * time.Millisecond
	joinIntervalNoView        = 50 * time.Millisecond // while no view is known: others may just be starting
	leaveInterval             = 100 * time.Millisecond
	drainTimeout              = 150 * time.Millisecond
	admissionHoldTimeout      = 300 * time.Millisecond
	admissionRetryDelay       = 300 * time.Millisecond
	admissionDelay            = 600 * time.Millisecond // a new head began to act
	admissionMaxLag           = 512                    // entries that a learner may lack when writes are held back for it
	stuckThreshold            = 250 * time.Millisecond
	voterTimeout              = 2 * time.Second
	refusedGrantTimeout       = time.Second
	viewSendInterval          = 10 * time.Millisecond
	longPauseThreshold        = 350 * time.Millisecond // between two steps
	electionDelayAfterPause   = 200 * time.Millisecond
	minPause                  = 3 * time.Millisecond  // that a step may come late without being held up
	maxWakeInterval           = 50 * time.Millisecond // the finer, the less of a pause goes unnoticed
	minPenalty                = 2 * time.Second
	maxPenalty                = 16 * time.Second
	penaltyMemory             = time.Minute
	maxProbation              = 2 * time.Second        // of prompt acknowledgements, at most
	promptTimeBeforeRetry     = 500 * time.Millisecond // before writes are held back for a learner once more
	learnerTimeout            = 400 * time.Millisecond
)

// quietHeartbeats is how many heartbeats' time after an answer a member counts as in touch; after more it was silent.
const quietHeartbeats = 2

// How a head tells whether its own disk is slower than others'.
const (
	aheadDivisor   = 2                // others have to be ahead for this part of StallAfter
	slowSyncMemory = 10 * time.Second // for which a slow sync here is granted to others as well
)

// maxEarlyMessages bounds the messages kept for the chain while a view is on its way to disk.
const maxEarlyMessages = 256

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

func (c *Config) setDefaults() {
	setDefault(&c.Grant, DefaultGrant)
	setDefault(&c.HeartbeatEvery, DefaultHeartbeatEvery)
	setDefault(&c.DropAfter, DefaultDropAfter)
	setDefault(&c.StallAfter, c.DropAfter)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.KeepBytes, DefaultKeepBytes)
}

func setDefault[T comparable](value *T, preset T) {
	var zero T
	if *value == zero {
		*value = preset
	}
}

// Why Propose refuses. Nothing has been appended then; it may do later.
var (
	ErrNotHead       = errors.New("this replica isn't the head or has no lease")
	ErrWritesHeld    = errors.New("writes are held back for a change of the view")
	ErrChainTooShort = errors.New("the chain is too short to commit")
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
