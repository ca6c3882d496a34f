package replica

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// govern proposes the view that the state of the members asks for, if it isn't the present one.
func (r *Replica) govern(now time.Duration) {
	if r.proposer.Active() {
		return
	}
	if r.governLeave(now) || r.governChain(now) || r.governAdmission(now) {
		return
	}
	r.governVoters(now)
}

// governLeave hands the head's place over where this replica has to go.
func (r *Replica) governLeave(now time.Duration) bool {
	hindered := r.ownDiskHinders(now)
	if !r.leaving && !hindered {
		return false
	}
	drained := r.Committed() >= r.LastIndex() || now-r.leaveAt > drainAtMost
	if !drained && !hindered {
		return true
	}
	out := func(id view.ReplicaID) bool { return id == r.self.ID || r.lost(now, id, "") }
	return r.proposeWithout(now, out, r.leaveCause(now, hindered))
}

// governChain drops members that are gone.
func (r *Replica) governChain(now time.Duration) bool {
	culprit := view.ReplicaID("")
	if r.judging {
		culprit = r.culprit(now)
	}
	gone := func(id view.ReplicaID) bool { return r.lost(now, id, culprit) }
	if !slices.ContainsFunc(r.view.Chain, func(m view.Member) bool { return gone(m.ID) }) {
		return false
	}
	if !r.proposeWithout(now, gone, r.dropCause(now, culprit, gone)) {
		return false
	}
	if culprit != "" {
		r.punish(now, culprit)
	}
	return true
}

// lost tells whether a member has to be dropped.
func (r *Replica) lost(now time.Duration, id, culprit view.ReplicaID) bool {
	if id == r.self.ID {
		return false
	}
	p := r.peer(id, now)
	if id == culprit || p.gone || p.leaving {
		return true
	}
	return r.judging && r.since(now, p.heard) > r.cfg.DropAfter+r.silencePatience(now)
}

func (r *Replica) proposeWithout(now time.Duration, gone func(view.ReplicaID) bool, cause Cause) bool {
	next := r.view.Next()
	next.Chain = view.Without(next.Chain, gone)
	if len(next.Chain) == 0 || !r.readsOver(now, next) {
		return false
	}
	r.propose(now, next, cause)
	return true
}

// readsOver tells whether the present tail can't answer reads any more once the next view is decided: it is a
// member still, has stopped by itself, or its permission has run out.
func (r *Replica) readsOver(now time.Duration, next view.View) bool {
	tail := r.view.Tail()
	if next.InChain(tail.ID) || tail.ID == r.self.ID || now >= r.head.readsUntil {
		return true
	}
	p := r.peer(tail.ID, now)
	return p.leaving || p.gone
}

func (r *Replica) punish(now time.Duration, id view.ReplicaID) {
	length := penaltyFirst
	if before, ok := r.head.penalties[id]; ok && now-before.last < penaltyForgiven {
		length = min(2*(before.until-before.last), penaltyMost)
	}
	r.head.penalties[id] = penalty{until: now + length, last: now}
}

// governAdmission takes a learner in that has everything, and holds writes back for one that nearly has.
func (r *Replica) governAdmission(now time.Duration) bool {
	if r.head.admitting == "" {
		r.chooseLearner(now)
		if r.head.admitting == "" {
			return false
		}
	}
	l := r.head.learners[r.head.admitting]
	acked, _, ok := r.chain.Learner(r.head.admitting)
	switch {
	case l == nil || !ok || now-r.head.heldSince > holdAtMost:
		r.head.admitting = ""
		r.head.heldAgain = now + holdAgainAfter
		return false
	case acked < r.LastIndex():
		return true
	}
	r.propose(now, r.viewWith(now, l.member), Cause{Kind: CauseLearner, Member: l.member.ID, Index: acked})
	return true
}

func (r *Replica) chooseLearner(now time.Duration) {
	if now < r.head.heldAgain || r.leaving {
		return
	}
	for id, l := range r.head.learners {
		if now-l.heardAt > 2*joinEvery+r.cfg.Grant || r.view.InChain(id) {
			delete(r.head.learners, id)
		}
	}
	best := view.ReplicaID("")
	for id := range r.head.learners {
		if r.admissible(now, id) && (best == "" || id < best) {
			best = id
		}
	}
	if best != "" {
		r.head.admitting, r.head.heldSince = best, now
	}
}

func (r *Replica) admissible(now time.Duration, id view.ReplicaID) bool {
	acked, heard, ok := r.chain.Learner(id)
	if !ok || now-heard > learnerHeardSince && acked < r.LastIndex() || acked+holdWithin < r.LastIndex() {
		return false
	}
	if now-r.head.learners[id].heardAt > learnerHeardSince || r.peer(id, now).leaving {
		return false
	}
	return now >= r.head.penalties[id].until || len(r.view.Chain) <= r.cfg.Tolerance
}

// viewWith is the next view with a new member at the chain's end.
func (r *Replica) viewWith(now time.Duration, member view.Member) view.View {
	next := r.view.Next()
	next.Chain = append(next.Chain, member)
	if seat := r.seatFor(now, next, member); seat >= 0 {
		next.Voters[seat] = member
	} else {
		next.Voters = append(next.Voters, member)
	}
	return next
}

// seatFor is the voter's seat that a new member takes over: its own, that of its lost disk, or that of one out of
// reach; -1 for a new seat.
func (r *Replica) seatFor(now time.Duration, next view.View, member view.Member) int {
	for i, voter := range next.Voters {
		if voter.ID == member.ID {
			return i
		}
	}
	if seat := voterAt(next, member.Address); seat >= 0 {
		return seat
	}
	return slices.IndexFunc(next.Voters, func(m view.Member) bool { return r.voterGone(now, m.ID) })
}

// voterGone tells whether a voter's seat can be given away.
func (r *Replica) voterGone(now time.Duration, id view.ReplicaID) bool {
	if id == r.self.ID || r.view.InChain(id) {
		return false
	}
	p := r.peer(id, now)
	return p.gone || p.leaving || now-p.ackedAt > voterGoneAfter
}

// governVoters drops a voter out of reach that isn't needed, and clears promises that keep a voter from granting.
func (r *Replica) governVoters(now time.Duration) {
	next := r.view.Next()
	if len(next.Voters) > 2*r.cfg.Tolerance+1 {
		gone := slices.IndexFunc(next.Voters, func(m view.Member) bool { return r.voterGone(now, m.ID) })
		if gone >= 0 {
			id := next.Voters[gone].ID
			next.Voters = slices.Delete(next.Voters, gone, gone+1)
			r.propose(now, next, Cause{Kind: CauseSeat, Member: id, Silence: now - r.peer(id, now).ackedAt, Patience: voterGoneAfter})
			return
		}
	}
	for _, member := range r.view.Chain {
		if p := r.peers[member.ID]; p != nil && p.refused != 0 && now-p.refused > refusedRefresh {
			r.propose(now, next, Cause{Kind: CausePromise, Member: member.ID, Silence: now - p.refused, Patience: refusedRefresh})
			return
		}
	}
}
