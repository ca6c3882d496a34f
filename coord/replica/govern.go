package replica

import (
	"cmp"
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// reconcile proposes the view that the state of the members requires, if it differs from the present one. A head that doesn't hear a
// majority proposes nothing: it would drop the members that it doesn't hear, and those may still receive its proposal and accept it.
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

// hearsMajority reports whether a majority of the voters, including this replica, was heard within the time after which members are
// dropped, or within two heartbeat intervals if that is longer.
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

// reconcileHandover hands the head's place over where this replica wants to leave or its disk has stalled. A head that only wants to
// leave goes on until f+1 other members have everything.
func (r *Replica) reconcileHandover(now time.Duration) bool {
	diskStalled := r.shouldYieldForDisk(now)
	if !r.leaving && !diskStalled {
		return false
	}
	rest := r.chainWithout(now, r.self.ID)
	if len(rest) <= r.cfg.Tolerance {
		r.head.handingOver = false
		return diskStalled && r.yieldHead(now)
	}
	if !r.head.handingOver {
		r.head.handingOver, r.head.drainDeadline = true, now+r.cfg.DropAfter+drainTimeout
	}
	if !diskStalled && now < r.head.drainDeadline && !r.drained(now, rest) {
		return true
	}
	return r.proposeChain(now, rest, "", r.leaveCause(now, diskStalled))
}

// drained reports whether the remaining members have everything and are responsive. An unresponsive one is detected within DropAfter.
func (r *Replica) drained(now time.Duration, rest []view.Member) bool {
	silentMember := func(m view.Member) bool { return r.unresponsive(now, r.peer(m.ID, now)) }
	return r.Committed() >= r.LastIndex() && !slices.ContainsFunc(rest, silentMember)
}

// chainWithout returns the chain without one member and without the lost ones.
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

// reconcileChain drops members that are lost, or that want to leave and can be spared.
func (r *Replica) reconcileChain(now time.Duration) bool {
	stalled := r.stalledMember(now)
	next := r.remainingChain(now, stalled, 0)
	if len(next) == len(r.view.Chain) {
		return false
	}
	return r.proposeChain(now, next, stalled, r.dropCause(now, stalled, next))
}

// remainingChain returns the members that stay in the chain if the given number of newcomers, who have everything, is added. Lost members
// are dropped only if f+1 others are left. Until then they stay: nothing commits either way, and one that returns with its disk has
// everything and may lead. Of the members that want to leave, as many are dropped as can be spared.
func (r *Replica) remainingChain(now time.Duration, stalled view.ReplicaID, newcomers int) []view.Member {
	found := view.Without(r.view.Chain, func(id view.ReplicaID) bool { return r.isLost(now, id, stalled) })
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

// tooFewToCommit reports whether too few members are in touch to commit anything.
func (r *Replica) tooFewToCommit(now time.Duration) bool {
	stalled := r.stalledMember(now)
	found := view.Without(r.view.Chain, func(id view.ReplicaID) bool { return r.isLost(now, id, stalled) })
	return len(found) <= r.cfg.Tolerance
}

// isLost reports whether a member can't do its part: it has stalled, is silent, has a failed disk, or is gone.
func (r *Replica) isLost(now time.Duration, id, stalled view.ReplicaID) bool {
	if id == r.self.ID {
		return false
	}
	p := r.peer(id, now)
	return id == stalled || p.gone || p.diskFailed || p.silent || r.elapsedSince(now, p.heard) > r.cfg.DropAfter+r.silenceAllowance(now, id)
}

// proposeChain proposes the view with another chain. Voters that leave and aren't needed lose their votes in the same view.
func (r *Replica) proposeChain(now time.Duration, members []view.Member, stalled view.ReplicaID, cause Cause) bool {
	next := r.view.Next()
	next.Chain = members
	r.reassignSeats(now, &next)
	r.dropSeats(now, &next)
	return r.proposeView(now, next, stalled, cause)
}

// proposeView proposes a view, and penalises the stalled member if the view's chain lacks it.
func (r *Replica) proposeView(now time.Duration, next view.View, stalled view.ReplicaID, cause Cause) bool {
	if len(next.Chain) == 0 || !r.readsExpired(now, next) {
		return false
	}
	if stalled != "" && !next.InChain(stalled) {
		r.penalise(now, stalled)
	}
	r.startProposal(now, next, cause)
	return true
}

// readsExpired reports whether none of the members that the next view drops can still answer reads. A member's permission has to run out,
// as neither a message from it nor one from another replica proves that it has stopped.
func (r *Replica) readsExpired(now time.Duration, next view.View) bool {
	for _, member := range r.view.Chain {
		if member.ID != r.self.ID && !next.InChain(member.ID) && !r.replaced(member.ID) && now < r.readsUntil(member.ID) {
			return false
		}
	}
	return true
}

// readsUntil returns when a member's read permission has run out, by the clock here. An earlier head may have given one, or this replica
// in an earlier epoch or incarnation, until the view was learned. Once all members know the view, only the tail can have one.
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

// allKnowView reports whether all members of the chain are certain to know the view: an entry of its epoch is committed, so each of them
// has acknowledged it as a member. A replica that learns a view gives up the read permission that it had before.
func (r *Replica) allKnowView() bool {
	epoch, ok := r.chain.Log().EpochAt(r.Committed())
	return ok && epoch == r.view.Epoch
}

// penalise keeps a member out of the chain that was dropped for its disk: it answered heartbeats but did not acknowledge entries.
func (r *Replica) penalise(now time.Duration, id view.ReplicaID) {
	length := minPenalty
	if before, ok := r.head.penalties[id]; ok && now-before.last < penaltyMemory {
		length = min(2*(before.until-before.last), maxPenalty)
	}
	r.head.penalties[id] = penalty{until: now + length, last: now}
}

// reconcileAdmission admits a learner that has everything, and holds writes back for one that nearly has.
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
	stalled := r.stalledMember(now)
	cause := Cause{Kind: CauseLearner, Member: l.member.ID, Index: acked}
	return r.proposeView(now, r.viewWithLearner(now, l.member, stalled), stalled, cause)
}

// mayAdmit reports whether learners may be admitted and votes reassigned. If enough members are in touch to commit, a new head acts
// first, and goes on for admissionDelay without holding writes back for a newcomer: the work that had waited for a head arrives then, and
// after a power loss of all machines newcomers are many and still slow.
func (r *Replica) mayAdmit(now time.Duration) bool {
	return r.head.announced && now >= r.head.headSince+admissionDelay || r.tooFewToCommit(now)
}

// stallUndecided reports whether a member holds an entry up but hasn't yet reached the timeout for that: another view would only restart
// its time. If too few members are in touch to commit anything, newcomers are what is needed, and it returns false.
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

// watchLearners tracks the learners, and removes those that no longer ask to join.
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

// triedBefore reports whether learner a is tried before b: the one for which writes were held back without success longer ago comes
// first.
func (r *Replica) triedBefore(a, b view.ReplicaID) bool {
	return cmp.Or(cmp.Compare(r.head.learners[a].failedAt, r.head.learners[b].failedAt), cmp.Compare(a, b)) < 0
}

// admissible reports whether it is worth holding writes back for a learner.
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

// penalised reports whether a member that was dropped for its disk must still stay out. It may return once it has acknowledged promptly
// for a time that grows with its penalty: a machine that has recovered counts as available again after a while, and the next loss may
// come then.
func (r *Replica) penalised(now time.Duration, id view.ReplicaID) bool {
	p := r.head.penalties[id]
	if now >= p.until || r.tooFewToCommit(now) {
		return false
	}
	proof := min((p.until-p.last)/2, maxProbation)
	return now-p.last < minPenalty || now-r.head.learners[id].promptSince < proof
}

// viewWithLearner returns the next view with a new member at the chain's end, and without the members that can then be spared. A voter
// that loses its vote to the new member loses its place in the chain as well: it is a lost disk, which never returns, or the new member
// itself at an earlier address.
func (r *Replica) viewWithLearner(now time.Duration, member view.Member, stalled view.ReplicaID) view.View {
	next := r.view.Next()
	chain := r.remainingChain(now, stalled, 1)
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
