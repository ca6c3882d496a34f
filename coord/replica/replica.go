package replica

import (
	"math"
	"math/rand/v2"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// sequenceBits is the number of low bits of a heartbeat's number that count; the rest is the life.
const sequenceBits = 32

const never = time.Duration(math.MaxInt64)

// Replica is one replica's view and chain.
type Replica struct {
	cfg     Config
	self    view.Member
	random  *rand.Rand
	fresh   bool // no earlier life can have had this identity
	started time.Duration
	stepped time.Duration
	pauses  pauses
	judging bool    // all that had arrived before this step has been handed in
	upsets  []upset // when members fell out of the chain

	view     view.View
	place    int           // in the chain, -1 without one
	learned  time.Duration // when, in this life
	acceptor view.Acceptor
	grant    time.Duration // till when others than the head get no promise
	proposer view.Proposer
	repeatAt time.Duration // of the ballot
	outbidAt time.Duration // when to begin a higher one; 0: not
	electAt  time.Duration
	// electPaused is by how much own pauses have put electAt off, electExcused the short ones' part.
	electPaused, electExcused time.Duration
	// expectedAt is since when the head's next heartbeat is waited for.
	expectedAt time.Duration
	cause      Cause // of the last own wish for a view
	chain      *chain.Chain
	entered    bool // the view is on disk and the chain goes by it
	enterAt    uint64

	head      headState
	tail      tailState
	audit     audit
	peers     map[view.ReplicaID]*peer
	leaving   bool
	left      bool
	joinAt    time.Duration
	broken    bool // the disk refuses
	numbers   uint64
	numbering uint64 // before this life's first heartbeat

	contacts []string
	newsSent map[string]time.Duration

	token  uint64 // last given out
	synced uint64
	// storedCommitted is the last committed index that was handed out for the disk.
	storedCommitted uint64
	// syncedAt is when a sync ended last.
	syncedAt time.Duration
	pace     diskPace
	writes   []write // on their way to disk
	held     []heldMessage
	early    []*Message // for the chain, before the view is on disk
	local    []*Message // to this replica itself
	out      Output
}

// write is a batch of records on its way to disk.
type write struct {
	token uint64
	at    time.Duration
}

// heldMessage waits for the disk.
type heldMessage struct {
	token   uint64
	to      view.Member
	message *Message
}

// New makes a replica from what its disk holds. Where that is a snapshot, the embedder installs it by itself.
func New(cfg Config, restored Persisted, now time.Duration) *Replica {
	cfg.fill()
	r := &Replica{cfg: cfg, self: cfg.Self, started: now, stepped: now, electAt: never, place: -1}
	r.random = rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15))
	if restored.Identity != "" {
		r.self.ID = restored.Identity
	}
	r.peers = make(map[view.ReplicaID]*peer)
	r.newsSent = make(map[string]time.Duration)
	life := r.random.Uint64()
	r.proposer = view.NewProposer(r.self.ID, life)
	keep := chain.Config{Life: life, KeepEntries: cfg.KeepEntries, KeepBytes: cfg.KeepBytes}
	r.chain = chain.New(keep, (*environment)(r), restored.Log)
	r.numbering = life >> sequenceBits << sequenceBits
	r.head.lease = view.NewLease(cfg.Grant, r.numbering)
	r.fresh = restored.Identity == "" && cfg.Genesis == nil
	r.storedCommitted = restored.Committed
	r.chain.RestoreCommitted(restored.Committed)
	if restored.Identity == "" {
		r.begin(now)
	} else {
		r.resume(now, restored)
	}
	return r
}

// begin starts on an empty disk. With a genesis an earlier life may have granted under this identity before it was on disk.
func (r *Replica) begin(now time.Duration) {
	r.store(encodeIdentity(r.self.ID))
	if r.cfg.Genesis != nil {
		r.learn(now, *r.cfg.Genesis, "")
	}
}

// resume goes on from what the disk holds. What was granted before isn't known any more.
func (r *Replica) resume(now time.Duration, restored Persisted) {
	r.grant = now + r.cfg.Grant
	if !restored.View.Known() {
		return
	}
	r.setView(now, restored.View)
	r.acceptor.Reset(r.view.Epoch + 1)
	if restored.Acceptor.Instance == r.acceptor.Instance {
		r.acceptor = restored.Acceptor
	}
	r.enter(now)
	r.expectHead(now)
	if r.position() == 0 {
		r.electAt, r.expectedAt = now, now
		r.because(now, Cause{Kind: CauseRestart, Member: r.self.ID})
	}
}

// Step takes one input. Others are judged for their silence at a Tick only.
func (r *Replica) Step(now time.Duration, in Input) Output {
	if r.audit.fault != nil {
		return r.ending(now, in)
	}
	r.awake(now)
	_, r.judging = in.(Tick)
	switch in := in.(type) {
	case Receive:
		r.receive(now, in.Message)
	case Synced:
		r.onSynced(now, in.Token)
	case DiskFailed:
		r.broken = true
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

// Propose appends entries at the head and gives the first one's index. They are committed when they come out in
// Output.Committed with the epoch that View had here; another epoch at such an index means that they are lost. The
// data must not be changed any more.
func (r *Replica) Propose(now time.Duration, data [][]byte) (first uint64, out Output, err error) {
	if r.audit.fault != nil {
		return 0, r.end(now), ErrNotHead
	}
	r.awake(now)
	r.judging = false
	if err = r.CanPropose(now); err == nil {
		first = r.chain.Append(now, data)
	}
	return first, r.finish(now), err
}

// CanPropose tells why Propose would refuse, nil if it wouldn't.
func (r *Replica) CanPropose(now time.Duration) error {
	switch {
	case r.head.announced && r.proposer.Active() && !r.head.handingOver:
		return ErrHeld
	case !r.IsHead(now) || r.head.handingOver:
		return ErrNotHead
	case r.head.admitting != "":
		return ErrHeld
	case r.short(now):
		return ErrShort
	}
	return nil
}

// finish does what is due and hands out what has come up.
func (r *Replica) finish(now time.Duration) Output {
	r.work(now)
	for len(r.local) > 0 {
		m := r.local[0]
		r.local = r.local[1:]
		r.receive(now, m)
		r.work(now)
	}
	r.announce(now)
	if r.audit.fault != nil {
		return r.end(now)
	}
	r.out.NeedSnapshot = r.chain.NeedsSnapshot()
	r.storeCommitted()
	if len(r.out.Persist) > 0 {
		r.token++
		r.out.Token = r.token
		r.chain.AssignSyncToken(r.token)
		r.writes = append(r.writes, write{r.token, now})
	}
	r.out.Wake = r.wake(now)
	r.pauses.due = r.out.Wake
	out := r.out
	r.out = Output{}
	return out
}

// work does what is due.
func (r *Replica) work(now time.Duration) {
	r.chain.Tick(now)
	if r.leading() {
		r.lead(now)
	} else {
		r.elect(now)
	}
	r.pursue(now)
	r.join(now)
}

// wake is when something is due next.
func (r *Replica) wake(now time.Duration) time.Duration {
	at := min(now+wakeAtLeastEvery, r.chain.Wake())
	if r.leading() {
		at = min(at, r.head.beatAt)
		if r.IsHead(now) && (r.leaving || r.head.admitting != "" || r.Committed() < r.head.stuckIndex) {
			at = min(at, r.head.governAt)
		}
	} else {
		at = min(at, r.electAt)
	}
	if r.position() < 0 || r.leaving {
		at = min(at, r.joinAt)
	}
	if r.proposer.Active() {
		at = min(at, r.repeatAt)
	}
	return max(at, now+time.Millisecond)
}

// Self is this replica, with the identity that its disk has.
func (r *Replica) Self() view.Member { return r.self }

// View is the newest view known.
func (r *Replica) View() view.View { return r.view }

// Committed is the last index known to be committed.
func (r *Replica) Committed() uint64 { return r.chain.Committed() }

// LastIndex is the last index held.
func (r *Replica) LastIndex() uint64 { return r.chain.Log().Last() }

// EntriesAfter is the entries after an index that are held here, committed or not. The index must not lie before the last one that came out as
// committed. They must not be changed.
func (r *Replica) EntriesAfter(after uint64) []chain.Entry {
	entries, _ := r.chain.Log().Slice(after+1, math.MaxInt)
	return entries
}
