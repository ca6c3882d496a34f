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

// Timings and limits that are not configurable.
const (
	electionStagger           = 120 * time.Millisecond // between the election timeouts of neighbours in the chain
	electionJitter            = 30 * time.Millisecond
	lateVoteWait              = 60 * time.Millisecond  // a candidate with a majority waits this long for the other members' promises
	silentHeadElectionDelay   = 150 * time.Millisecond // before the next election when the new view's head did not answer the ballot
	ballotRetryInterval       = 60 * time.Millisecond
	reconcileInterval         = 40 * time.Millisecond
	reconcileIntervalChanging = 5 * time.Millisecond // while a leave or an admission is in progress
	joinInterval              = 200 * time.Millisecond
	joinIntervalNoView        = 50 * time.Millisecond // while no view is known, because other replicas may just be starting
	leaveInterval             = 100 * time.Millisecond
	drainTimeout              = 150 * time.Millisecond // beyond DropAfter, for the remaining members to get everything before a handover
	admissionHoldTimeout      = 300 * time.Millisecond // for which writes are held back for one learner
	admissionRetryDelay       = 300 * time.Millisecond // after a hold that did not succeed
	admissionDelay            = 600 * time.Millisecond // after a new head began to act
	admissionMaxLag           = 512                    // entries that a learner may lack when writes are held back for it
	stuckThreshold            = 250 * time.Millisecond // after which an uncommitted entry stops new read permissions and delays admissions
	voterTimeout              = 2 * time.Second        // after which a silent voter outside the chain can lose its vote
	refusedGrantTimeout       = time.Second            // after which a new epoch clears the promise that keeps a voter from granting
	viewSendInterval          = 10 * time.Millisecond  // minimum between two sendings of the view to one address
	longPauseThreshold        = 350 * time.Millisecond // between two steps
	electionDelayAfterPause   = 200 * time.Millisecond // minimum from the end of a long pause to an election
	minPause                  = 3 * time.Millisecond   // a step that is less late than this is no pause
	maxWakeInterval           = 50 * time.Millisecond  // the shorter, the less of a pause goes unnoticed
	minPenalty                = 2 * time.Second
	maxPenalty                = 16 * time.Second
	penaltyMemory             = time.Minute            // a drop within this time after the last one doubles the penalty
	maxProbation              = 2 * time.Second        // the longest time of prompt acknowledgements that ends a penalty early
	promptTimeBeforeRetry     = 500 * time.Millisecond // of prompt acknowledgements, before writes are held back for the same learner again
	learnerTimeout            = 400 * time.Millisecond // for a learner's messages
)

// quietHeartbeats is the number of heartbeat intervals without an answer after which a member counts as unresponsive.
const quietHeartbeats = 2

// Limits by which a head decides whether its own disk is slower than the others'.
const (
	aheadDivisor   = 2                // another disk has to be ahead for StallAfter divided by this
	slowSyncMemory = 10 * time.Second // for which a slow sync here extends the timeout of other members
)

// maxEarlyMessages bounds the chain messages that are kept while a view is on its way to disk.
const maxEarlyMessages = 256

// Config holds the settings of a replica. Zero times and sizes take the defaults.
type Config struct {
	Self           view.Member // the ID is the identity for an empty disk
	Genesis        *view.View  // the first view, for the first start of the whole system with an empty disk; else nil
	Tolerance      int         // f: nothing commits while the chain is shorter than f+1
	Grant          time.Duration
	HeartbeatEvery time.Duration
	DropAfter      time.Duration // silence after which the head drops a member
	// StallAfter is how long an entry may wait for one member before that member is dropped, or the head's own disk for a sync before the
	// head hands over. The default is DropAfter.
	StallAfter  time.Duration
	KeepEntries int // delivered entries that are kept in memory for members that return
	KeepBytes   int
	Seed        uint64 // random, different in each incarnation
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

// Reasons for Propose to refuse. Nothing was appended; a later call may succeed.
var (
	ErrNotHead       = errors.New("this replica isn't the head or has no lease")
	ErrWritesHeld    = errors.New("writes are held back for a change of the view")
	ErrChainTooShort = errors.New("the chain is too short to commit")
)

// Output is what a step asks the embedder to do. It appends the records to the log in order, syncs them and then reports Token with
// Synced; messages that depend on the records are held back until then. Nothing in an Output may be changed.
type Output struct {
	Send         []Envelope
	Persist      []Record
	Token        uint64 // of Persist
	Install      *chain.Snapshot
	Committed    []chain.Entry // to apply after Install, in order
	NeedSnapshot bool          // the embedder should answer with SnapshotReady
	Events       []Event
	Wake         time.Duration // the latest time of the next Tick
	Fault        error         // an invariant is broken; the process must stop
}
