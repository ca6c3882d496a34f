package replica

import (
	"math"
	"math/rand/v2"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// sequenceBits is the number of low bits of a heartbeat's sequence that count heartbeats; the bits above identify the incarnation.
const sequenceBits = 32

const never = time.Duration(math.MaxInt64)

// Replica is the state of one replica: its view, its part in elections and its chain.
type Replica struct {
	cfg         Config
	self        view.Member
	random      *rand.Rand
	newIdentity bool // no earlier incarnation can have had this identity
	started     time.Duration
	lastStep    time.Duration
	pauses      pauses
	// checkTimeouts is true in a step in which timeouts may be evaluated: everything that had arrived before it has been handed in.
	checkTimeouts bool
	chainLosses   []chainLoss // recent views that removed members from the chain

	view           view.View
	ownPosition    int           // in the chain, -1 if not in it
	viewLearnedAt  time.Duration // in this incarnation
	acceptor       view.Acceptor
	grantUntil     time.Duration // until then only the head gets a promise
	proposer       view.Proposer
	ballotRetryAt  time.Duration // when to resend the ballot
	higherBallotAt time.Duration // when to start a higher ballot; 0: not scheduled
	electionAt     time.Duration
	// electionPaused is by how much own pauses have postponed electionAt, electionShortPaused the part of short pauses.
	electionPaused, electionShortPaused time.Duration
	// headExpectedSince is since when the next heartbeat of the head is expected.
	headExpectedSince time.Duration
	proposalCause     Cause // of the last view that this replica proposed
	chain             *chain.Chain
	entered           bool   // the view is on disk and the chain works in it
	enterToken        uint64 // of the record of the view

	head            headState
	tail            tailState
	audit           audit
	peers           map[view.ReplicaID]*peer
	leaving         bool
	left            bool
	joinAt          time.Duration
	diskFailed      bool   // the disk refuses writes
	requestSequence uint64 // of the last Join or LeaveNotice
	heartbeatBase   uint64 // the sequence before this incarnation's first heartbeat

	contacts   []string
	viewSentAt map[string]time.Duration // by address

	lastToken   uint64 // last token handed out
	syncedToken uint64
	// storedCommitted is the last committed index that was handed out as a record.
	storedCommitted uint64
	// lastSyncAt is when the last sync ended.
	lastSyncAt    time.Duration
	slowestSync   slowestSync
	pendingWrites []write       // on their way to disk
	heldMessages  []heldMessage // until the records that they depend on are on disk
	earlyMessages []*Message    // for the chain, received before the view is on disk
	localMessages []*Message    // from this replica to itself
	out           Output
}

// write is a batch of records on its way to disk.
type write struct {
	token uint64
	at    time.Duration
}

// heldMessage is a message that is sent once the records up to token are on disk.
type heldMessage struct {
	token   uint64
	to      view.Member
	message *Message
}

// New creates a replica from what its disk holds. If that includes a snapshot, the embedder installs it by itself.
func New(cfg Config, restored Persisted, now time.Duration) *Replica {
	cfg.setDefaults()
	r := &Replica{cfg: cfg, self: cfg.Self, started: now, lastStep: now, electionAt: never, ownPosition: -1}
	r.random = rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15))
	if restored.Identity != "" {
		r.self.ID = restored.Identity
	}
	r.peers = make(map[view.ReplicaID]*peer)
	r.viewSentAt = make(map[string]time.Duration)
	life := r.random.Uint64()
	r.proposer = view.NewProposer(r.self.ID, life)
	keep := chain.Config{Life: life, KeepEntries: cfg.KeepEntries, KeepBytes: cfg.KeepBytes}
	r.chain = chain.New(keep, (*environment)(r), restored.Log)
	r.heartbeatBase = life >> sequenceBits << sequenceBits
	r.head.lease = view.NewLease(cfg.Grant, r.heartbeatBase)
	r.newIdentity = restored.Identity == "" && cfg.Genesis == nil
	r.storedCommitted = restored.Committed
	r.chain.RestoreCommitted(restored.Committed)
	if restored.Identity == "" {
		r.startEmpty(now)
	} else {
		r.resume(now, restored)
	}
	return r
}

// startEmpty starts on an empty disk. With a genesis view, an earlier incarnation may have granted heartbeats under the same identity
// before the identity was on disk.
func (r *Replica) startEmpty(now time.Duration) {
	r.store(encodeIdentity(r.self.ID))
	if r.cfg.Genesis != nil {
		r.adoptView(now, *r.cfg.Genesis, "")
	}
}

// resume continues from what the disk holds. The grants of earlier incarnations are unknown, so it assumes that one was given just
// before.
func (r *Replica) resume(now time.Duration, restored Persisted) {
	r.grantUntil = now + r.cfg.Grant
	if !restored.View.Known() {
		return
	}
	r.setView(now, restored.View)
	r.acceptor.Reset(r.view.Epoch + 1)
	if restored.Acceptor.Instance == r.acceptor.Instance {
		r.acceptor = restored.Acceptor
	}
	r.enterView(now)
	r.resetElectionTimer(now)
	if r.position() == 0 {
		r.electionAt, r.headExpectedSince = now, now
		r.setCause(now, Cause{Kind: CauseRestart, Member: r.self.ID})
	}
}

// Step processes one input. Timeouts of other replicas are evaluated only at a Tick.
func (r *Replica) Step(now time.Duration, in Input) Output {
	if r.audit.divergence != nil {
		return r.stepStopped(now, in)
	}
	r.notePause(now)
	_, r.checkTimeouts = in.(Tick)
	switch in := in.(type) {
	case Receive:
		r.receive(now, in.Message)
	case Synced:
		r.onSynced(now, in.Token)
	case DiskFailed:
		r.diskFailed = true
		r.leave(now)
	case Leave:
		r.leave(now)
	case Contacts:
		r.contacts = in.Addresses
	case SnapshotReady:
		r.chain.OfferSnapshot(now, in.Index, in.Data)
	case StateDigest:
		r.onAudited(now, in.Digest)
	}
	return r.finish(now)
}

// Propose appends entries at the head and returns the index of the first. An entry is committed when it comes out in Output.Committed
// with the epoch that View had at the call; if another epoch comes out at its index, the entry is lost. The data must not be changed
// afterwards.
func (r *Replica) Propose(now time.Duration, data [][]byte) (first uint64, out Output, err error) {
	if r.audit.divergence != nil {
		return 0, r.finishStopped(now), ErrNotHead
	}
	r.notePause(now)
	r.checkTimeouts = false
	if err = r.CanPropose(now); err == nil {
		first = r.chain.Append(now, data)
	}
	return first, r.finish(now), err
}

// CanPropose returns the error with which Propose would refuse, or nil.
func (r *Replica) CanPropose(now time.Duration) error {
	switch {
	case r.head.announced && r.proposer.Active() && !r.head.handingOver:
		return ErrWritesHeld
	case !r.IsHead(now) || r.head.handingOver:
		return ErrNotHead
	case r.head.admitting != "":
		return ErrWritesHeld
	case r.tooFewToCommit(now):
		return ErrChainTooShort
	}
	return nil
}

// finish does the work that is due and hands out the output.
func (r *Replica) finish(now time.Duration) Output {
	r.doDueWork(now)
	for len(r.localMessages) > 0 {
		m := r.localMessages[0]
		r.localMessages = r.localMessages[1:]
		r.receive(now, m)
		r.doDueWork(now)
	}
	r.announce(now)
	if r.audit.divergence != nil {
		return r.finishStopped(now)
	}
	r.out.NeedSnapshot = r.chain.NeedsSnapshot()
	r.storeCommitted()
	if len(r.out.Persist) > 0 {
		r.lastToken++
		r.out.Token = r.lastToken
		r.chain.AssignSyncToken(r.lastToken)
		r.pendingWrites = append(r.pendingWrites, write{r.lastToken, now})
	}
	r.out.Wake = r.nextWake(now)
	r.pauses.due = r.out.Wake
	out := r.out
	r.out = Output{}
	return out
}

// doDueWork does the work that is due.
func (r *Replica) doDueWork(now time.Duration) {
	r.chain.Tick(now)
	if r.leading() {
		r.lead(now)
	} else {
		r.electIfDue(now)
	}
	r.advanceBallot(now)
	r.join(now)
}

// nextWake returns when work is due next.
func (r *Replica) nextWake(now time.Duration) time.Duration {
	at := min(now+maxWakeInterval, r.chain.Wake())
	if r.leading() {
		at = min(at, r.head.heartbeatAt)
		if r.IsHead(now) && (r.leaving || r.head.admitting != "" || r.Committed() < r.head.watchedIndex) {
			at = min(at, r.head.reconcileAt)
		}
	} else {
		at = min(at, r.electionAt)
	}
	if r.position() < 0 || r.leaving {
		at = min(at, r.joinAt)
	}
	if r.proposer.Active() {
		at = min(at, r.ballotRetryAt)
	}
	return max(at, now+time.Millisecond)
}

// Self returns this replica's member entry, with the identity that its disk holds.
func (r *Replica) Self() view.Member { return r.self }

// View returns the newest known view.
func (r *Replica) View() view.View { return r.view }

// Committed returns the last index known to be committed.
func (r *Replica) Committed() uint64 { return r.chain.Committed() }

// LastIndex returns the last index of the log.
func (r *Replica) LastIndex() uint64 { return r.chain.Log().Last() }

// EntriesAfter returns the entries of the log after an index, committed or not. The index must not be less than that of the last delivered entry.
// The entries must not be changed.
func (r *Replica) EntriesAfter(after uint64) []chain.Entry {
	entries, _ := r.chain.Log().Slice(after+1, math.MaxInt)
	return entries
}
