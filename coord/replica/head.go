package replica

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// readGrantDivisor is the part of a grant for which the tail may answer reads at most.
const readGrantDivisor = 2

// headState is what a head knows of its epoch.
type headState struct {
	currentIncarnation bool // this life learnt the view, so what an earlier one sent doesn't count
	steppedDown        bool // it has proposed a view, or found itself without a majority
	lease              view.Lease
	// leaseUntil is the end of this epoch's lease. Voters that learn an epoch forget what they have granted in the one before, so that no lease
	// outlasts its epoch.
	leaseUntil  time.Duration
	heartbeatAt time.Duration
	readsUntil  time.Duration // the tail's permission, by the clock here
	announced   bool
	// announcedUntil is till when a head that was announced in an earlier epoch counts as one that is about to have the lease of this.
	announcedUntil time.Duration
	announcedEpoch uint64 // the epoch of BecameHead
	// headSince is when this replica began to act as the head, with no other in between since.
	headSince time.Duration
	// headThrough is one more than the epoch up to which this replica has been the head since BecameHead, with no other in between.
	headThrough    uint64
	reconcileAt    time.Duration
	inheritedIndex uint64 // last index at the start of the epoch

	handingOver   bool // no writes are taken any more
	drainDeadline time.Duration

	watchedIndex uint64 // the entry that is watched
	watchedSince time.Duration
	stall        stallState
	leaseRenewed timestamp // when the lease was renewed last

	learners    map[view.ReplicaID]*learner
	admitting   view.ReplicaID // writes are held back for it
	holdSince   time.Duration
	holdRetryAt time.Duration
	penalties   map[view.ReplicaID]penalty

	diverged             view.ReplicaID // told last that its state differs
	divergenceReportedAt time.Duration  // or when the epoch began
}

// peer is what is known of another replica.
type peer struct {
	heard          timestamp     // last acknowledgement, or the start of the epoch
	ackedAt        time.Duration // last acknowledgement, or the start of this replica's time as head
	epoch          uint64        // of the newest view that it has shown to know
	epochKnown     bool
	ackedHeartbeat uint64 // its last acknowledged heartbeat of this epoch
	refusedSince   time.Duration
	received       uint64
	synced         uint64
	acked          uint64
	leaving        bool
	diskFailed     bool // its disk refuses
	silent         bool // out of reach since it was the head's or a candidate's
	gone           bool // its disk is lost, or it has moved
	// replacedIn is one more than the epoch in which that was proven for a member of the chain; 0: never.
	replacedIn uint64
	digests    []view.Digest
}

// learner is one that has asked to become a member, and how promptly it acknowledges.
type learner struct {
	member       view.Member
	heardAt      time.Duration
	watchedIndex uint64 // an index that it has to acknowledge
	watchedSince time.Duration
	promptSince  time.Duration
	failedAt     time.Duration // writes were held back for it in vain; 0: never
}

// watch follows what a learner acknowledges.
func (l *learner) watch(now time.Duration, acked uint64, ok bool, last uint64, most time.Duration) {
	switch {
	case ok && acked >= l.watchedIndex:
		l.watchedIndex, l.watchedSince = last, now
	case now-l.watchedSince > most:
		l.promptSince = now
	}
}

// penalty keeps a member out that stopped to acknowledge while it was in touch.
type penalty struct {
	until time.Duration
	last  time.Duration
}

func (r *Replica) resetHead(now time.Duration) {
	h := &r.head
	head := headState{lease: view.NewLease(r.cfg.Grant, r.heartbeatBase), currentIncarnation: true, heartbeatAt: now, reconcileAt: now, watchedSince: now,
		leaseRenewed: r.timestamp(now), stall: stallState{blockedSince: r.timestamp(now)}, learners: h.learners, penalties: h.penalties, divergenceReportedAt: now}
	if r.position() == 0 {
		head.announced, head.announcedEpoch, head.announcedUntil = h.announced, h.announcedEpoch, max(h.leaseUntil, h.announcedUntil)
		head.headSince = h.headSince
		if h.headThrough != 0 && h.headThrough == r.view.Epoch {
			head.headThrough = h.headThrough + 1
		}
	} else {
		head.learners, head.penalties = nil, nil
	}
	if h.announced && !head.announced {
		r.out.Events = append(r.out.Events, LostHead{Epoch: h.announcedEpoch, Cause: r.leaseCause(now)})
	}
	if head.learners == nil {
		head.learners = make(map[view.ReplicaID]*learner)
		head.penalties = make(map[view.ReplicaID]penalty)
	}
	for _, p := range r.peers {
		p.heard = r.timestamp(now)
		if !head.announced {
			p.ackedAt = now
		}
		p.gone = false
		p.silent = p.silent && r.position() == 0
		p.ackedHeartbeat, p.refusedSince, p.received, p.synced, p.acked = 0, 0, 0, 0, 0
	}
	r.head = head
}

// leading tells whether this replica acts as the head of its view, with or without a lease.
func (r *Replica) leading() bool {
	return r.view.Known() && r.head.currentIncarnation && !r.head.steppedDown && r.position() == 0
}

// IsHead tells whether this replica is the head and holds the lease. Whatever only a head may do, it may do now.
func (r *Replica) IsHead(now time.Duration) bool {
	return r.entered && r.leading() && now < r.head.leaseUntil
}

// lead does a head's work.
func (r *Replica) lead(now time.Duration) {
	if r.checkTimeouts && r.stepDownIfStuck(now) {
		return
	}
	if now >= r.head.heartbeatAt {
		r.sendHeartbeats(now)
	}
	if !r.IsHead(now) {
		return
	}
	if len(r.view.Chain) > r.cfg.Tolerance {
		r.chain.Commit(now)
	}
	r.watchPendingEntry(now)
	if r.checkTimeouts {
		r.head.reconcileAt = now + reconcileInterval
		if r.leaving || r.head.admitting != "" {
			r.head.reconcileAt = now + reconcileIntervalChanging
		}
		r.reconcile(now)
	}
}

// sendHeartbeats sends heartbeats.
func (r *Replica) sendHeartbeats(now time.Duration) {
	sequence := r.head.lease.Sent(now)
	r.head.heartbeatAt = now + r.cfg.HeartbeatEvery
	if r.view.IsVoter(r.self.ID) && !r.acceptor.PromisedAway(r.self.ID) {
		r.grantUntil = max(r.grantUntil, now+r.cfg.Grant)
		r.head.lease.Granted(r.self.ID, sequence)
		r.renewLease(now)
	}
	for _, voter := range r.view.Voters {
		if voter.ID != r.self.ID {
			r.sendHeartbeat(now, voter, sequence)
		}
	}
}

func (r *Replica) isOnlyVoter() bool { return len(r.view.Voters) == 1 }

func (r *Replica) sendHeartbeat(now time.Duration, voter view.Member, sequence uint64) {
	m := &Message{Heartbeat: &view.Heartbeat{Sequence: sequence}}
	p := r.peer(voter.ID, now)
	if voter.ID == r.view.Tail().ID {
		m.Heartbeat.Echo, m.Heartbeat.ReadFor = r.permitReads(now, p)
	}
	if !p.epochKnown || p.epoch != r.view.Epoch {
		m.View = r.viewCopy()
	}
	r.send(voter, m)
}

// permitReads gives the tail's permission. It ends before the lease does, and counts at the tail from when it acknowledged
// the echoed heartbeat, which was before word of that came here.
func (r *Replica) permitReads(now time.Duration, tail *peer) (echo uint64, readFor time.Duration) {
	if tail.ackedHeartbeat == 0 || tail.leaving || !r.IsHead(now) || now-r.head.watchedSince > stuckThreshold {
		return 0, 0
	}
	readFor = min(r.head.leaseUntil-now, r.cfg.Grant/readGrantDivisor)
	r.head.readsUntil = max(r.head.readsUntil, tail.ackedAt+readFor)
	return tail.ackedHeartbeat, readFor
}

func (r *Replica) renewLease(now time.Duration) {
	if until := r.head.lease.Until(r.view); until > r.head.leaseUntil {
		r.head.leaseUntil = until
		r.head.leaseRenewed = r.timestamp(now)
	}
}

// stepDown ends this replica's part as the head of the present epoch.
func (r *Replica) stepDown(now time.Duration) {
	r.head.steppedDown = true
	r.head.admitting = ""
	r.electionAt = never
}

func (r *Replica) onHeartbeatAck(now time.Duration, from view.Member, m *view.HeartbeatAck) {
	if !r.leading() {
		return
	}
	p := r.peer(from.ID, now)
	r.noteAcknowledgement(now, p)
	p.silent, p.diskFailed = false, m.Broken
	p.ackedHeartbeat = max(p.ackedHeartbeat, m.Sequence)
	p.received, p.synced, p.acked = m.Received, m.Synced, m.Acked
	p.digests = m.Digests
	r.checkDigests(now)
	if !m.Granted {
		if p.refusedSince == 0 {
			p.refusedSince = now
		}
		return
	}
	p.refusedSince = 0
	r.head.lease.Granted(from.ID, m.Sequence)
	r.renewLease(now)
}

// announce tells of the head's place won or lost.
func (r *Replica) announce(now time.Duration) {
	h := &r.head
	switch {
	case h.announced && now >= max(h.leaseUntil, h.announcedUntil):
		h.announced = false
		r.out.Events = append(r.out.Events, LostHead{Epoch: h.announcedEpoch, Cause: r.leaseCause(now)})
	case r.IsHead(now) && r.Committed() >= h.inheritedIndex && (!h.announced || h.announcedEpoch != r.view.Epoch):
		continued := h.announced || h.headThrough == r.view.Epoch+1
		if !continued {
			h.headSince = now
		}
		r.out.Events = append(r.out.Events, BecameHead{Epoch: r.view.Epoch, Continued: continued})
		h.announced, h.announcedEpoch, h.headThrough = true, r.view.Epoch, r.view.Epoch+1
	}
}

func (r *Replica) peer(id view.ReplicaID, now time.Duration) *peer {
	p := r.peers[id]
	if p == nil {
		p = &peer{heard: r.timestamp(now), ackedAt: now}
		r.peers[id] = p
	}
	return p
}

func (r *Replica) viewCopy() *view.View {
	v := r.view
	return &v
}

func (r *Replica) jitter(most time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(most) + 1))
}

// voterAt finds a voter by its address.
func voterAt(v view.View, address string) int {
	return slices.IndexFunc(v.Voters, func(m view.Member) bool { return m.Address == address })
}
