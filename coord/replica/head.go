package replica

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// readGrantDivisor bounds the tail's read permission to a grant divided by it.
const readGrantDivisor = 2

// headState is the state of a head in its epoch.
type headState struct {
	currentIncarnation bool // this incarnation learned the view, so heartbeats of an earlier one don't count
	steppedDown        bool // it proposed a view, or lost its majority, or could not store its view
	lease              view.Lease
	// leaseUntil is the end of this epoch's lease. Voters that learn an epoch forget their grants of the one before, so that no lease
	// outlasts its epoch.
	leaseUntil  time.Duration
	heartbeatAt time.Duration
	readsUntil  time.Duration // end of the tail's read permission, by the clock here
	announced   bool
	// announcedUntil is until when a head that was announced in an earlier epoch stays announced while it waits for the lease of this
	// one.
	announcedUntil time.Duration
	announcedEpoch uint64 // the epoch of the last BecameHead
	// headSince is when this replica began to act as the head, with no other head since.
	headSince time.Duration
	// headThrough is one more than the epoch up to which this replica has been the head since its last BecameHead, with no other head in
	// between.
	headThrough    uint64
	reconcileAt    time.Duration
	inheritedIndex uint64 // last index of the log at the start of the epoch

	handingOver   bool // no writes are accepted any more
	drainDeadline time.Duration

	watchedIndex uint64 // the entry whose commit is watched
	watchedSince time.Duration
	stall        stallState
	leaseRenewed timestamp // when the lease was last renewed

	learners    map[view.ReplicaID]*learner
	admitting   view.ReplicaID // the learner for which writes are held back
	holdSince   time.Duration
	holdRetryAt time.Duration
	penalties   map[view.ReplicaID]penalty

	diverged             view.ReplicaID // the member that was last notified that its state differs
	divergenceReportedAt time.Duration  // when it was notified, or when the epoch began
}

// peer is what this replica knows of another one.
type peer struct {
	heard          timestamp     // last acknowledgement, or the start of the epoch
	ackedAt        time.Duration // last acknowledgement, or the start of this replica's time as head
	epoch          uint64        // of the newest view that it has shown to know
	epochKnown     bool
	ackedHeartbeat uint64 // sequence of the last heartbeat of this epoch that it acknowledged
	refusedSince   time.Duration
	received       uint64
	synced         uint64
	acked          uint64
	leaving        bool
	diskFailed     bool // its disk refuses writes
	silent         bool // it did not answer the election that made this replica the head, and has acknowledged no heartbeat since
	gone           bool // its disk is lost, or has moved to another address
	// replacedIn is one more than the epoch in which it was proven that another disk replaced this member of the chain; 0: never.
	replacedIn uint64
	digests    []view.Digest
}

// learner is a replica that has asked to become a member, and how promptly it acknowledges.
type learner struct {
	member       view.Member
	heardAt      time.Duration
	watchedIndex uint64 // an index that it has to acknowledge
	watchedSince time.Duration
	promptSince  time.Duration
	failedAt     time.Duration // when writes were last held back for it without success; 0: never
}

// watch tracks how promptly the learner acknowledges.
func (l *learner) watch(now time.Duration, acked uint64, ok bool, last uint64, limit time.Duration) {
	switch {
	case ok && acked >= l.watchedIndex:
		l.watchedIndex, l.watchedSince = last, now
	case now-l.watchedSince > limit:
		l.promptSince = now
	}
}

// penalty keeps a member out of the chain that stopped acknowledging entries while it answered heartbeats.
type penalty struct {
	until time.Duration
	last  time.Duration
}

func (r *Replica) resetHead(now time.Duration) {
	h := &r.head
	head := headState{lease: view.NewLease(r.cfg.Grant, r.heartbeatBase), currentIncarnation: true, heartbeatAt: now, reconcileAt: now,
		watchedSince: now, leaseRenewed: r.timestamp(now), stall: stallState{blockedSince: r.timestamp(now)},
		learners: h.learners, penalties: h.penalties, divergenceReportedAt: now}
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

// leading reports whether this replica acts as the head of its view, with or without a lease.
func (r *Replica) leading() bool {
	return r.view.Known() && r.head.currentIncarnation && !r.head.steppedDown && r.position() == 0
}

// IsHead reports whether this replica is the head and holds the lease, so that it may do now whatever only a head may do.
func (r *Replica) IsHead(now time.Duration) bool {
	return r.entered && r.leading() && now < r.head.leaseUntil
}

// lead does the work of a head.
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

// sendHeartbeats sends a heartbeat to every voter, and grants it here if this replica is a voter.
func (r *Replica) sendHeartbeats(now time.Duration) {
	sequence := r.head.lease.Sent(now)
	r.head.heartbeatAt = now + r.cfg.HeartbeatEvery
	if r.view.IsVoter(r.self.ID) && !r.acceptor.PromisedToOther(r.self.ID) {
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

// permitReads returns the read permission for the tail. It ends before the lease does. The tail counts it from when it acknowledged the
// echoed heartbeat, which was before that acknowledgement arrived here.
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

// announce emits BecameHead or LostHead when this replica has become the head or lost its place.
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

func (r *Replica) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit) + 1))
}

// voterAt returns the index of the voter with an address, or -1.
func voterAt(v view.View, address string) int {
	return slices.IndexFunc(v.Voters, func(m view.Member) bool { return m.Address == address })
}
