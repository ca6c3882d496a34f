package replica

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// CauseKind tells why a view was wished for.
type CauseKind string

// The kinds of causes.
const (
	// CauseGenesis is the first view of the whole system.
	CauseGenesis CauseKind = "genesis"
	// CauseLearned: another replica had it decided, and Member told of it; the cause is in that one's log.
	CauseLearned CauseKind = "learnt"
	// CauseHeadSilent: an election, as the head hadn't been heard for longer than Patience.
	CauseHeadSilent CauseKind = "head-silent"
	// CauseMajorityLost: an election by a head that a majority hadn't granted anything for longer than Patience.
	CauseMajorityLost CauseKind = "majority-lost"
	// CauseRestart: an election by a replica that came back as the head of its old view.
	CauseRestart CauseKind = "restart"
	// CauseSilent: the head dropped a member that it hadn't heard for longer than Patience.
	CauseSilent CauseKind = "silent"
	// CauseStuck: the head dropped a member for which an entry had waited for longer than Patience.
	CauseStuck CauseKind = "stuck"
	// CauseOwnDisk: the head handed over, as its own disk hadn't synced for longer than Patience, or refuses.
	CauseOwnDisk CauseKind = "own-disk"
	// CauseDiskRefuses: the head dropped a member that had told that its disk refuses or stalls.
	CauseDiskRefuses CauseKind = "disk-refuses"
	// CauseHandover: the head was asked to leave.
	CauseHandover CauseKind = "handover"
	// CauseLeaver: a member asked to leave.
	CauseLeaver CauseKind = "leaver"
	// CauseDiskLost: a member's address has another disk now, or its disk another address.
	CauseDiskLost CauseKind = "disk-lost"
	// CauseLearner: a learner that had everything was admitted.
	CauseLearner CauseKind = "learner"
	// CauseSeat: the seat of a voter out of reach was given up.
	CauseSeat CauseKind = "seat"
	// CausePromise: a voter's old promise kept it from granting.
	CausePromise CauseKind = "promise"
	// CauseLease: the head's lease ended; no view by itself.
	CauseLease CauseKind = "lease"
	// CauseState: the head's state differs from what is agreed, and it stops; no view by itself.
	CauseState CauseKind = "state"
)

// Cause is why a view was wished for, or a lease lost, with the figures that decided it. What doesn't belong to the kind is
// zero. Times are lengths by the clock of the replica that judged, at the moment at which it judged.
type Cause struct {
	Kind CauseKind
	// Member is whom it concerns: who was silent, stuck, leaving or admitted, or who told of the view.
	Member view.ReplicaID
	// Silence is for how long nothing counted had come from Member; at a lost majority or lease from a majority.
	Silence time.Duration
	// Paused is the part of Silence, or of Stuck, for which the judge was held up itself; it is taken off.
	Paused time.Duration
	// Patience is the bound that was passed.
	Patience time.Duration
	// Index waited to be committed, for Stuck; where the own disk is the cause, Index is the last one on it, and no sync ended for Stuck.
	Index uint64
	Stuck time.Duration
	// Sync is the age of the judge's oldest write on the way to its disk.
	Sync time.Duration
	// LeaseOver is how long ago the judge's own lease as the head ended, if it has ended.
	LeaseOver time.Duration
	// Answered are those that answered the last ballot.
	Answered []view.ReplicaID
	// Adopted: the ballot's value was another replica's wish, found on the way.
	Adopted bool
}

// setCause notes why the replica wishes for the view that it proposes next.
func (r *Replica) setCause(now time.Duration, cause Cause) {
	cause.Sync = r.oldestWriteAge(now)
	if r.head.currentIncarnation && r.head.leaseUntil > 0 && r.ownPosition == 0 {
		cause.LeaseOver = max(now-r.head.leaseUntil, 0)
	}
	r.proposalCause = cause
}

// oldestWriteAge is the age of the oldest write on the way to the disk here.
func (r *Replica) oldestWriteAge(now time.Duration) time.Duration {
	if len(r.pendingWrites) == 0 {
		return 0
	}
	return now - r.pendingWrites[0].at
}

// viewCause is the cause of a view that has come into force here: the own wish's, or that it was learnt.
func (r *Replica) viewCause(v view.View, from view.ReplicaID) Cause {
	wish := r.proposer.Value
	switch {
	case r.proposalCause.Kind != "" && r.proposer.Active() && wish != nil && wish.Equal(v):
		return r.decidedCause(v)
	case from != "":
		return Cause{Kind: CauseLearned, Member: from}
	default:
		return Cause{Kind: CauseGenesis}
	}
}

// decidedCause is the cause of a view that the own ballot decided.
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

// headSilentCause is the cause of standing for the place of a head that is silent.
func (r *Replica) headSilentCause(now time.Duration) Cause {
	return Cause{Kind: CauseHeadSilent, Member: r.view.Head().ID, Silence: now - r.headExpectedSince,
		Paused: r.electionPaused, Patience: r.electionAt - r.headExpectedSince - r.electionPaused}
}

// dropCause is why the head drops the members that aren't in the chain that is left: the first of them tells.
func (r *Replica) dropCause(now time.Duration, culprit view.ReplicaID, left []view.Member) Cause {
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
	case id == culprit:
		cause.Kind, cause.Patience = CauseStuck, r.entryTimeout(now, id)
		cause.Paused = r.pausedSince(r.head.stall.blockedSince)
		cause.Index, cause.Stuck = r.head.watchedIndex, now-r.head.watchedSince
	default:
		cause.Kind, cause.Patience = CauseSilent, r.cfg.DropAfter+r.silenceAllowance(now, id)
	}
	return cause
}

// seatCause is why a voter that isn't among the next ones loses its seat.
func (r *Replica) seatCause(now time.Duration, next view.View) Cause {
	at := slices.IndexFunc(r.view.Voters, func(m view.Member) bool { return !next.IsVoter(m.ID) })
	if at < 0 {
		return Cause{Kind: CauseSeat}
	}
	id := r.view.Voters[at].ID
	return Cause{Kind: CauseSeat, Member: id, Silence: now - r.peer(id, now).ackedAt, Patience: voterTimeout}
}

// leaveCause is why the head hands over.
func (r *Replica) leaveCause(now time.Duration, hindered bool) Cause {
	if hindered {
		return Cause{Kind: CauseOwnDisk, Member: r.self.ID, Stuck: r.diskIdle(now), Patience: r.diskTimeout(now, r.self.ID),
			Index: r.chain.Synced()}
	}
	return Cause{Kind: CauseHandover, Member: r.self.ID}
}

// leaseCause is what the head knows of the loss of its lease.
func (r *Replica) leaseCause(now time.Duration) Cause {
	cause := Cause{Kind: CauseLease, Sync: r.oldestWriteAge(now), LeaseOver: max(now-r.head.leaseUntil, 0)}
	if since, ok := r.head.lease.MajoritySince(r.view); ok {
		cause.Silence = now - since
	}
	return cause
}
