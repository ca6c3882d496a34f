package replica

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// CauseKind is the reason for which a view was proposed or a lease lost.
type CauseKind string

// Kinds of causes.
const (
	// CauseGenesis: the first view of the whole system.
	CauseGenesis CauseKind = "genesis"
	// CauseLearnt: another replica had the view decided, and Member sent it; the cause is in that replica's log.
	CauseLearnt CauseKind = "learnt"
	// CauseHeadSilent: an election, because the head hadn't been heard for longer than Patience.
	CauseHeadSilent CauseKind = "head-silent"
	// CauseMajorityLost: an election by a head that had no grant of a majority for longer than Patience.
	CauseMajorityLost CauseKind = "majority-lost"
	// CauseRestart: an election by a replica that restarted as the head of its old view.
	CauseRestart CauseKind = "restart"
	// CauseSilent: the head dropped a member that it hadn't heard for longer than Patience.
	CauseSilent CauseKind = "silent"
	// CauseStuck: the head dropped a member for which an entry had waited for longer than Patience.
	CauseStuck CauseKind = "stuck"
	// CauseOwnDisk: the head handed over because its own disk hadn't synced for longer than Patience, or refuses writes.
	CauseOwnDisk CauseKind = "own-disk"
	// CauseDiskRefuses: the head dropped a member that had reported that its disk refuses writes.
	CauseDiskRefuses CauseKind = "disk-refuses"
	// CauseHandover: the head handed over because it was asked to leave.
	CauseHandover CauseKind = "handover"
	// CauseLeaver: the head dropped a member that had asked to leave.
	CauseLeaver CauseKind = "leaver"
	// CauseDiskLost: a member's address has another disk now, or its disk has another address.
	CauseDiskLost CauseKind = "disk-lost"
	// CauseLearner: a learner that had everything was admitted.
	CauseLearner CauseKind = "learner"
	// CauseSeat: the vote of a voter out of reach was dropped or reassigned.
	CauseSeat CauseKind = "seat"
	// CausePromise: a new epoch, because a voter's old promise kept it from granting.
	CausePromise CauseKind = "promise"
	// CauseLease: the head's lease ended. It causes no view by itself.
	CauseLease CauseKind = "lease"
	// CauseState: the head's state differs from the agreed one, and it stops. It causes no view by itself.
	CauseState CauseKind = "state"
)

// Cause is why a view was proposed, or a lease lost, with the figures that decided it. Fields that don't belong to the kind are zero.
// Times are durations by the clock of the replica that decided, at the moment of its decision.
type Cause struct {
	Kind CauseKind
	// Member is the replica that the cause concerns: the one that was silent, stuck, leaving or admitted, or that sent the view.
	Member view.ReplicaID
	// Silence is for how long nothing that counts had come from Member; for a lost majority or lease, from a majority.
	Silence time.Duration
	// Paused is the part of Silence, or of Stuck, for which the deciding replica was paused itself; it is subtracted.
	Paused time.Duration
	// Patience is the limit that was exceeded.
	Patience time.Duration
	// Index is the entry that had waited to be committed for Stuck. If the own disk is the cause, Index is the last one on it, and no
	// sync had ended for Stuck.
	Index uint64
	Stuck time.Duration
	// Sync is the age of the deciding replica's oldest write on the way to its disk.
	Sync time.Duration
	// LeaseOver is how long ago the deciding replica's own lease as the head ended, if it has ended.
	LeaseOver time.Duration
	// Answered lists the voters that answered the last ballot.
	Answered []view.ReplicaID
	// Adopted: the ballot's value was another replica's proposal, found in the first phase.
	Adopted bool
}

// setCause records why the replica proposes its next view.
func (r *Replica) setCause(now time.Duration, cause Cause) {
	cause.Sync = r.oldestWriteAge(now)
	if r.head.currentIncarnation && r.head.leaseUntil > 0 && r.ownPosition == 0 {
		cause.LeaseOver = max(now-r.head.leaseUntil, 0)
	}
	r.proposalCause = cause
}

// oldestWriteAge returns the age of the oldest write on the way to the own disk.
func (r *Replica) oldestWriteAge(now time.Duration) time.Duration {
	if len(r.pendingWrites) == 0 {
		return 0
	}
	return now - r.pendingWrites[0].at
}

// viewCause returns the cause of a view that is adopted here: that of the own proposal, or that it was learned.
func (r *Replica) viewCause(v view.View, from view.ReplicaID) Cause {
	proposed := r.proposer.Value
	switch {
	case r.proposalCause.Kind != "" && r.proposer.Active() && proposed != nil && proposed.Equal(v):
		return r.decidedCause(v)
	case from != "":
		return Cause{Kind: CauseLearnt, Member: from}
	default:
		return Cause{Kind: CauseGenesis}
	}
}

// decidedCause returns the cause of a view that the own ballot decided.
func (r *Replica) decidedCause(v view.View) Cause {
	cause := r.proposalCause
	for _, voter := range r.view.Voters {
		if r.proposer.Answered(voter.ID) {
			cause.Answered = append(cause.Answered, voter.ID)
		}
	}
	found := r.proposer.Found()
	cause.Adopted = found != nil && found.Equal(v)
	return cause
}

// headSilentCause returns the cause of an election against a silent head.
func (r *Replica) headSilentCause(now time.Duration) Cause {
	return Cause{Kind: CauseHeadSilent, Member: r.view.Head().ID, Silence: now - r.headExpectedSince,
		Paused: r.electionPaused, Patience: r.electionAt - r.headExpectedSince - r.electionPaused}
}

// dropCause returns why the head drops the members that aren't in the remaining chain: the cause of the first of them.
func (r *Replica) dropCause(now time.Duration, stalled view.ReplicaID, left []view.Member) Cause {
	at := slices.IndexFunc(r.view.Chain, func(m view.Member) bool { return !slices.Contains(left, m) })
	id := r.view.Chain[at].ID
	p := r.peer(id, now)
	cause := Cause{Member: id, Silence: now - p.heard.at, Paused: r.pausedSince(p.heard)}
	switch {
	case p.gone:
		cause.Kind = CauseDiskLost
	case p.diskFailed:
		cause.Kind = CauseDiskRefuses
	case p.leaving:
		cause.Kind = CauseLeaver
	case id == stalled:
		cause.Kind, cause.Patience = CauseStuck, r.entryTimeout(now, id)
		cause.Paused = r.pausedSince(r.head.stall.blockedSince)
		cause.Index, cause.Stuck = r.head.watchedIndex, now-r.head.watchedSince
	default:
		cause.Kind, cause.Patience = CauseSilent, r.cfg.DropAfter+r.silenceAllowance(now, id)
	}
	return cause
}

// seatCause returns why a voter that isn't among the next ones loses its seat.
func (r *Replica) seatCause(now time.Duration, next view.View) Cause {
	at := slices.IndexFunc(r.view.Voters, func(m view.Member) bool { return !next.IsVoter(m.ID) })
	if at < 0 {
		return Cause{Kind: CauseSeat}
	}
	id := r.view.Voters[at].ID
	return Cause{Kind: CauseSeat, Member: id, Silence: now - r.peer(id, now).ackedAt, Patience: voterTimeout}
}

// leaveCause returns why the head hands over.
func (r *Replica) leaveCause(now time.Duration, diskStalled bool) Cause {
	if diskStalled {
		return Cause{Kind: CauseOwnDisk, Member: r.self.ID, Stuck: r.diskIdle(now), Patience: r.diskTimeout(now, r.self.ID),
			Index: r.chain.Synced()}
	}
	return Cause{Kind: CauseHandover, Member: r.self.ID}
}

// leaseCause returns the figures of a lost lease.
func (r *Replica) leaseCause(now time.Duration) Cause {
	cause := Cause{Kind: CauseLease, Sync: r.oldestWriteAge(now), LeaseOver: max(now-r.head.leaseUntil, 0)}
	if since, ok := r.head.lease.MajoritySince(r.view); ok {
		cause.Silence = now - since
	}
	return cause
}
