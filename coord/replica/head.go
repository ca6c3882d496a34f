package replica

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// readPart is the part of a grant for which the tail may answer reads at most.
const readPart = 2

// headState is what a head knows of its epoch.
type headState struct {
	allowed   bool // this life learnt the view, so what an earlier one sent doesn't count
	abdicated bool // it has proposed a view, or found itself without a majority
	lease     view.Lease
	// leaseUntil is the end of this epoch's lease. Voters that learn an epoch forget what they have granted in the one before, so that no lease
	// outlasts its epoch.
	leaseUntil time.Duration
	beatAt     time.Duration
	readsUntil time.Duration // the tail's permission, by the clock here
	announced  bool
	// announcedUntil is till when a head that was announced in an earlier epoch counts as one that is about to have the lease of this.
	announcedUntil time.Duration
	announcedE     uint64 // the epoch of BecameHead
	// actsSince is when this replica began to act as the head, with no other in between since.
	actsSince time.Duration
	// served is one more than the epoch up to which this replica has been the head since BecameHead, with no other in between.
	served    uint64
	governAt  time.Duration
	inherited uint64 // last index at the start of the epoch

	handingOver bool // no writes are taken any more
	drainedBy   time.Duration

	stuckIndex uint64 // the entry that is watched
	stuckSince time.Duration
	blame      blameState
	majority   mark // when the lease was renewed last

	learners  map[view.ReplicaID]*learner
	admitting view.ReplicaID // writes are held back for it
	heldSince time.Duration
	heldAgain time.Duration
	penalties map[view.ReplicaID]penalty

	condemned   view.ReplicaID // told last that its state differs
	condemnedAt time.Duration  // or when the epoch began
}

// peer is what is known of another replica.
type peer struct {
	heard    mark          // last acknowledgement, or the start of the epoch
	ackedAt  time.Duration // last acknowledgement, or the start of this replica's time as head
	epoch    uint64        // of the newest view that it has shown to know
	knows    bool
	echo     uint64 // its last acknowledged heartbeat of this epoch
	refused  time.Duration
	received uint64
	synced   uint64
	acked    uint64
	leaving  bool
	broken   bool // its disk refuses
	silent   bool // out of reach since it was the head's or a candidate's
	gone     bool // its disk is lost, or it has moved
	// replacedIn is one more than the epoch in which that was proven for a member of the chain; 0: never.
	replacedIn uint64
	digests    []view.Digest
}

// learner is one that has asked to become a member, and how promptly it acknowledges.
type learner struct {
	member      view.Member
	heardAt     time.Duration
	watched     uint64 // an index that it has to acknowledge
	watchedAt   time.Duration
	promptSince time.Duration
	failedAt    time.Duration // writes were held back for it in vain; 0: never
}

// watch follows what a learner acknowledges.
func (l *learner) watch(now time.Duration, acked uint64, ok bool, last uint64, most time.Duration) {
	switch {
	case ok && acked >= l.watched:
		l.watched, l.watchedAt = last, now
	case now-l.watchedAt > most:
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
	head := headState{lease: view.NewLease(r.cfg.Grant, r.numbering), allowed: true, beatAt: now, governAt: now, stuckSince: now,
		majority: r.mark(now), blame: blameState{stuck: r.mark(now)}, learners: h.learners, penalties: h.penalties, condemnedAt: now}
	if r.position() == 0 {
		head.announced, head.announcedE, head.announcedUntil = h.announced, h.announcedE, max(h.leaseUntil, h.announcedUntil)
		head.actsSince = h.actsSince
		if h.served != 0 && h.served == r.view.Epoch {
			head.served = h.served + 1
		}
	} else {
		head.learners, head.penalties = nil, nil
	}
	if h.announced && !head.announced {
		r.out.Events = append(r.out.Events, LostHead{Epoch: h.announcedE, Cause: r.leaseCause(now)})
	}
	if head.learners == nil {
		head.learners = make(map[view.ReplicaID]*learner)
		head.penalties = make(map[view.ReplicaID]penalty)
	}
	for _, p := range r.peers {
		p.heard = r.mark(now)
		if !head.announced {
			p.ackedAt = now
		}
		p.gone = false
		p.silent = p.silent && r.position() == 0
		p.echo, p.refused, p.received, p.synced, p.acked = 0, 0, 0, 0, 0
	}
	r.head = head
}

// leading tells whether this replica acts as the head of its view, with or without a lease.
func (r *Replica) leading() bool {
	return r.view.Known() && r.head.allowed && !r.head.abdicated && r.position() == 0
}

// IsHead tells whether this replica is the head and holds the lease. Whatever only a head may do, it may do now.
func (r *Replica) IsHead(now time.Duration) bool {
	return r.entered && r.leading() && now < r.head.leaseUntil
}

// lead does a head's work.
func (r *Replica) lead(now time.Duration) {
	if r.judging && r.resigns(now) {
		return
	}
	if now >= r.head.beatAt {
		r.beat(now)
	}
	if !r.IsHead(now) {
		return
	}
	if len(r.view.Chain) > r.cfg.Tolerance {
		r.chain.Commit(now)
	}
	r.watchStuck(now)
	if r.judging {
		r.head.governAt = now + governEvery
		if r.leaving || r.head.admitting != "" {
			r.head.governAt = now + governSoon
		}
		r.govern(now)
	}
}

// beat sends heartbeats.
func (r *Replica) beat(now time.Duration) {
	sequence := r.head.lease.Sent(now)
	r.head.beatAt = now + r.cfg.HeartbeatEvery
	if r.view.IsVoter(r.self.ID) && !r.acceptor.PromisedToOther(r.self.ID) {
		r.grant = max(r.grant, now+r.cfg.Grant)
		r.head.lease.Granted(r.self.ID, sequence)
		r.renewLease(now)
	}
	for _, voter := range r.view.Voters {
		if voter.ID != r.self.ID {
			r.beatTo(now, voter, sequence)
		}
	}
}

func (r *Replica) alone() bool { return len(r.view.Voters) == 1 }

func (r *Replica) beatTo(now time.Duration, voter view.Member, sequence uint64) {
	m := &Message{Heartbeat: &view.Heartbeat{Sequence: sequence}}
	p := r.peer(voter.ID, now)
	if voter.ID == r.view.Tail().ID {
		m.Heartbeat.Echo, m.Heartbeat.ReadFor = r.permitReads(now, p)
	}
	if !p.knows || p.epoch != r.view.Epoch {
		m.View = r.viewCopy()
	}
	r.send(voter, m)
}

// permitReads gives the tail's permission. It ends before the lease does, and counts at the tail from when it acknowledged
// the echoed heartbeat, which was before word of that came here.
func (r *Replica) permitReads(now time.Duration, tail *peer) (echo uint64, readFor time.Duration) {
	if tail.echo == 0 || tail.leaving || !r.IsHead(now) || now-r.head.stuckSince > stuckNoReads {
		return 0, 0
	}
	readFor = min(r.head.leaseUntil-now, r.cfg.Grant/readPart)
	r.head.readsUntil = max(r.head.readsUntil, tail.ackedAt+readFor)
	return tail.echo, readFor
}

func (r *Replica) renewLease(now time.Duration) {
	if until := r.head.lease.Until(r.view); until > r.head.leaseUntil {
		r.head.leaseUntil = until
		r.head.majority = r.mark(now)
	}
}

// abdicate ends this replica's part as the head of the present epoch.
func (r *Replica) abdicate(now time.Duration) {
	r.head.abdicated = true
	r.head.admitting = ""
	r.electAt = never
}

func (r *Replica) onHeartbeatAck(now time.Duration, from view.Member, m *view.HeartbeatAck) {
	if !r.leading() {
		return
	}
	p := r.peer(from.ID, now)
	r.heardAgain(now, p)
	p.silent, p.broken = false, m.Broken
	p.echo = max(p.echo, m.Sequence)
	p.received, p.synced, p.acked = m.Received, m.Synced, m.Acked
	p.digests = m.Digests
	r.judge(now)
	if !m.Granted {
		if p.refused == 0 {
			p.refused = now
		}
		return
	}
	p.refused = 0
	r.head.lease.Granted(from.ID, m.Sequence)
	r.renewLease(now)
}

// announce tells of the head's place won or lost.
func (r *Replica) announce(now time.Duration) {
	h := &r.head
	switch {
	case h.announced && now >= max(h.leaseUntil, h.announcedUntil):
		h.announced = false
		r.out.Events = append(r.out.Events, LostHead{Epoch: h.announcedE, Cause: r.leaseCause(now)})
	case r.IsHead(now) && r.Committed() >= h.inherited && (!h.announced || h.announcedE != r.view.Epoch):
		continued := h.announced || h.served == r.view.Epoch+1
		if !continued {
			h.actsSince = now
		}
		r.out.Events = append(r.out.Events, BecameHead{Epoch: r.view.Epoch, Continued: continued})
		h.announced, h.announcedE, h.served = true, r.view.Epoch, r.view.Epoch+1
	}
}

func (r *Replica) peer(id view.ReplicaID, now time.Duration) *peer {
	p := r.peers[id]
	if p == nil {
		p = &peer{heard: r.mark(now), ackedAt: now}
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
