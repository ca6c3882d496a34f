package replica

import (
	"cmp"
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// reconcile proposes the view that the state of the members asks for, if it isn't the present one. A head that hears no
// majority proposes nothing: it would be the only member that it hears, and the others, whom it may reach, might take that up.
func (r *Replica) reconcile(now time.Duration) {
	if r.proposer.Active() || !r.hearsMajority(now) {
		return
	}
	r.watchLearners(now)
	if r.reconcileHandover(now) || r.reconcileChain(now) || r.reconcileAdmission(now) {
		return
	}
	if r.mayAdmit(now) {
		r.reconcileVoters(now)
	}
}

// hearsMajority tells whether a majority of the voters, itself among them, has been heard within the time after which members
// are dropped, two heartbeats at least.
func (r *Replica) hearsMajority(now time.Duration) bool {
	heard := 0
	for _, voter := range r.view.Voters {
		patience := max(r.cfg.DropAfter+r.silenceAllowance(now, voter.ID), quietHeartbeats*r.cfg.HeartbeatEvery)
		if voter.ID == r.self.ID || r.elapsedSince(now, r.peer(voter.ID, now).heard) <= patience {
			heard++
		}
	}
	return heard >= r.view.Majority()
}

// reconcileHandover hands the head's place over where this replica has to go. One that only wants to leave goes on as the head until f+1
// others have everything.
func (r *Replica) reconcileHandover(now time.Duration) bool {
	stalls := r.shouldYieldForDisk(now)
	if !r.leaving && !stalls {
		return false
	}
	rest := r.chainWithout(now, r.self.ID)
	if len(rest) <= r.cfg.Tolerance {
		r.head.handingOver = false
		return stalls && r.yieldHead(now)
	}
	if !r.head.handingOver {
		r.head.handingOver, r.head.drainDeadline = true, now+r.cfg.DropAfter+drainTimeout
	}
	if !stalls && now < r.head.drainDeadline && !r.drained(now, rest) {
		return true
	}
	return r.proposeChain(now, rest, "", r.leaveCause(now, stalls))
}

// drained tells whether those who stay have everything, and are there. Where one of them isn't, that shows within DropAfter.
func (r *Replica) drained(now time.Duration, rest []view.Member) bool {
	away := func(m view.Member) bool { return r.unresponsive(now, r.peer(m.ID, now)) }
	return r.Committed() >= r.LastIndex() && !slices.ContainsFunc(rest, away)
}

// chainWithout is the chain without one member and without the lost ones.
func (r *Replica) chainWithout(now time.Duration, id view.ReplicaID) []view.Member {
	return view.Without(r.view.Chain, func(other view.ReplicaID) bool { return other == id || r.isLost(now, other, "") })
}

// yieldHead gives the head's place to a member whose disk works, where this replica, whose disk stalls, can't be spared.
func (r *Replica) yieldHead(now time.Duration) bool {
	next := r.chainWithout(now, r.self.ID)
	if len(next) == 0 {
		return false
	}
	for _, member := range r.view.Chain {
		if !slices.Contains(next, member) {
			next = append(next, member)
		}
	}
	return r.proposeChain(now, next, "", r.leaveCause(now, true))
}

// reconcileChain drops members that are lost, or want to leave and can be spared.
func (r *Replica) reconcileChain(now time.Duration) bool {
	culprit := r.stalledMember(now)
	next := r.remainingChain(now, culprit, 0)
	if len(next) == len(r.view.Chain) {
		return false
	}
	return r.proposeChain(now, next, culprit, r.dropCause(now, culprit, next))
}

// remainingChain is what stays of the chain if so many newcomers, who have everything, are added. It has no more lost members where f+1
// others are left; till then they stay: nothing commits either way, and one that comes back with its disk has everything and may lead.
// Of those that want to leave as many go as can be spared.
func (r *Replica) remainingChain(now time.Duration, culprit view.ReplicaID, newcomers int) []view.Member {
	found := view.Without(r.view.Chain, func(id view.ReplicaID) bool { return r.isLost(now, id, culprit) })
	if len(found)+newcomers <= r.cfg.Tolerance {
		return slices.Clone(r.view.Chain)
	}
	spare := len(found) + newcomers - r.cfg.Tolerance - 1
	return view.Without(found, func(id view.ReplicaID) bool {
		if spare == 0 || id == r.self.ID || !r.peer(id, now).leaving {
			return false
		}
		spare--
		return true
	})
}

// tooFewToCommit tells whether too few members are in touch to commit anything.
func (r *Replica) tooFewToCommit(now time.Duration) bool {
	culprit := r.stalledMember(now)
	found := view.Without(r.view.Chain, func(id view.ReplicaID) bool { return r.isLost(now, id, culprit) })
	return len(found) <= r.cfg.Tolerance
}

// isLost tells whether a member can't do its part.
func (r *Replica) isLost(now time.Duration, id, culprit view.ReplicaID) bool {
	if id == r.self.ID {
		return false
	}
	p := r.peer(id, now)
	return id == culprit || p.gone || p.diskFailed || p.silent || r.elapsedSince(now, p.heard) > r.cfg.DropAfter+r.silenceAllowance(now, id)
}

// proposeChain proposes the view with another chain. Voters that go and aren't needed lose their seats with it.
func (r *Replica) proposeChain(now time.Duration, members []view.Member, culprit view.ReplicaID, cause Cause) bool {
	next := r.view.Next()
	next.Chain = members
	r.reassignSeats(now, &next)
	r.dropSeats(now, &next)
	return r.proposeView(now, next, culprit, cause)
}

// proposeView proposes a view whose chain may lack the culprit.
func (r *Replica) proposeView(now time.Duration, next view.View, culprit view.ReplicaID, cause Cause) bool {
	if len(next.Chain) == 0 || !r.readsExpired(now, next) {
		return false
	}
	if culprit != "" && !next.InChain(culprit) {
		r.penalise(now, culprit)
	}
	r.startProposal(now, next, cause)
	return true
}

// readsExpired tells whether none of those that the next view drops can answer reads any more: a member's permission has
// to run out, as neither its word nor another's says for sure that it has stopped.
func (r *Replica) readsExpired(now time.Duration, next view.View) bool {
	for _, member := range r.view.Chain {
		if member.ID != r.self.ID && !next.InChain(member.ID) && !r.replaced(member.ID) && now < r.readsUntil(member.ID) {
			return false
		}
	}
	return true
}

// readsUntil is when a member's permission to read has run out, by the clock here. An earlier head may have given one, or
// this one in an earlier epoch or life, till the view was learnt. Only the tail can have one once all members know the view.
func (r *Replica) readsUntil(id view.ReplicaID) time.Duration {
	earlier := r.viewLearnedAt + r.cfg.Grant/readGrantDivisor
	switch {
	case id == r.view.Tail().ID:
		return max(earlier, r.head.readsUntil)
	case r.allKnowView():
		return 0
	}
	return earlier
}

// allKnowView tells whether all members of the chain surely know the view: an entry that was made in its epoch is committed, so that each
// has acknowledged it as a member. Whoever learns a view gives up the permission that it had before.
func (r *Replica) allKnowView() bool {
	epoch, ok := r.chain.Log().EpochAt(r.Committed())
	return ok && epoch == r.view.Epoch
}

// penalise keeps a member out that was dropped for its disk: it answered heartbeats and didn't acknowledge.
func (r *Replica) penalise(now time.Duration, id view.ReplicaID) {
	length := minPenalty
	if before, ok := r.head.penalties[id]; ok && now-before.last < penaltyMemory {
		length = min(2*(before.until-before.last), maxPenalty)
	}
	r.head.penalties[id] = penalty{until: now + length, last: now}
}

// reconcileAdmission takes a learner in that has everything, and holds writes back for one that nearly has.
func (r *Replica) reconcileAdmission(now time.Duration) bool {
	if !r.mayAdmit(now) || r.stallUndecided(now) {
		r.head.admitting = ""
		return false
	}
	if r.head.admitting == "" {
		r.chooseLearner(now)
		if r.head.admitting == "" {
			return false
		}
	}
	l := r.head.learners[r.head.admitting]
	acked, _, ok := r.chain.Learner(r.head.admitting)
	switch {
	case l == nil || !ok || now-r.head.holdSince > admissionHoldTimeout:
		if l != nil {
			l.failedAt = now
		}
		r.head.admitting = ""
		r.head.holdRetryAt = now + admissionRetryDelay
		return false
	case acked < r.LastIndex():
		return true
	}
	culprit := r.stalledMember(now)
	cause := Cause{Kind: CauseLearner, Member: l.member.ID, Index: acked}
	return r.proposeView(now, r.viewWithLearner(now, l.member, culprit), culprit, cause)
}

// mayAdmit tells whether learners may be taken in and votes given away. Where enough members are in touch to commit, a new head acts first, and goes on for
// admissionDelay without holding writes back for a newcomer: what had waited for a head comes then, and after a loss of power of all machines
// newcomers are many and still slow.
func (r *Replica) mayAdmit(now time.Duration) bool {
	return r.head.announced && now >= r.head.headSince+admissionDelay || r.tooFewToCommit(now)
}

// stallUndecided tells whether a member holds an entry up for which it can't be blamed yet: another view would only begin its time anew. Where
// too few members are in touch to commit anything, newcomers are what is waited for.
func (r *Replica) stallUndecided(now time.Duration) bool {
	stuck := r.Committed() < r.head.watchedIndex && now-r.head.watchedSince > stuckThreshold
	return stuck && r.stalledMember(now) == "" && !r.tooFewToCommit(now)
}

func (r *Replica) chooseLearner(now time.Duration) {
	if now < r.head.holdRetryAt {
		return
	}
	best := view.ReplicaID("")
	for id := range r.head.learners {
		if r.admissible(now, id) && (best == "" || r.triedBefore(id, best)) {
			best = id
		}
	}
	if best != "" {
		r.head.admitting, r.head.holdSince = best, now
	}
}

// watchLearners follows the learners, and forgets those that don't ask any more.
func (r *Replica) watchLearners(now time.Duration) {
	for id, l := range r.head.learners {
		if now-l.heardAt > 2*joinInterval+r.cfg.Grant || r.view.InChain(id) {
			delete(r.head.learners, id)
			continue
		}
		acked, _, ok := r.chain.Learner(id)
		l.watch(now, acked, ok, r.LastIndex(), r.cfg.StallAfter/2)
	}
}

// triedBefore tells which of two learners is tried first: the one for which writes were held back in vain longer ago.
func (r *Replica) triedBefore(a, b view.ReplicaID) bool {
	return cmp.Or(cmp.Compare(r.head.learners[a].failedAt, r.head.learners[b].failedAt), cmp.Compare(a, b)) < 0
}

// admissible tells whether it is worth holding writes back for a learner.
func (r *Replica) admissible(now time.Duration, id view.ReplicaID) bool {
	acked, heard, ok := r.chain.Learner(id)
	if !ok || now-heard > learnerTimeout && acked < r.LastIndex() || acked+admissionMaxLag < r.LastIndex() {
		return false
	}
	if now-r.head.learners[id].heardAt > learnerTimeout {
		return false
	}
	l := r.head.learners[id]
	if l.failedAt != 0 && now-max(l.promptSince, l.failedAt) < promptTimeBeforeRetry {
		return false
	}
	return !r.penalised(now, id)
}

// penalised tells whether a member that was dropped for its disk has to stay out yet: it is back once it has been prompt for a while,
// which grows with the length of its penalty. A machine that is well counts again after a time, and the next loss may come then.
func (r *Replica) penalised(now time.Duration, id view.ReplicaID) bool {
	p := r.head.penalties[id]
	if now >= p.until || r.tooFewToCommit(now) {
		return false
	}
	proof := min((p.until-p.last)/2, maxProbation)
	return now-p.last < minPenalty || now-r.head.learners[id].promptSince < proof
}

// viewWithLearner is the next view with a new member at the chain's end, and without those that can be spared then. Whoever loses its vote to the
// new member loses its place to it as well: that is a lost disk, which never comes back, or the new member itself at an earlier address.
func (r *Replica) viewWithLearner(now time.Duration, member view.Member, culprit view.ReplicaID) view.View {
	next := r.view.Next()
	chain := r.remainingChain(now, culprit, 1)
	if seat := r.seatFor(now, next, member); seat >= 0 {
		before := next.Voters[seat].ID
		chain = view.Without(chain, func(id view.ReplicaID) bool { return id == before })
		next.Voters[seat] = member
	} else {
		next.Voters = append(next.Voters, member)
	}
	next.Chain = append(chain, member)
	return next
}
