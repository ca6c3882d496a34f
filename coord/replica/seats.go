package replica

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// reassignSeats gives the votes of lost disks to the new disks at their addresses, which need no data to vote.
func (r *Replica) reassignSeats(now time.Duration, next *view.View) (changed bool) {
	for _, l := range r.head.learners {
		seat := voterAt(*next, l.member.Address)
		if seat < 0 || next.IsVoter(l.member.ID) || !r.peer(next.Voters[seat].ID, now).gone || next.InChain(next.Voters[seat].ID) {
			continue
		}
		next.Voters[seat] = l.member
		changed = true
	}
	return changed
}

// dropSeats takes the votes of replicas away that have left the chain or lost their disks, as long as 2f+1 voters remain, because the
// next loss may come at once.
func (r *Replica) dropSeats(now time.Duration, next *view.View) {
	for _, voter := range slices.Clone(next.Voters) {
		p := r.peer(voter.ID, now)
		going := p.leaving || p.gone
		if voter.ID == r.self.ID {
			going = r.leaving
		}
		if going && !next.InChain(voter.ID) && len(next.Voters) > 2*r.cfg.Tolerance+1 {
			next.Voters = view.Without(next.Voters, func(id view.ReplicaID) bool { return id == voter.ID })
		}
	}
}

// seatFor returns the index of the voter whose seat a new member takes over: its own, that of the lost disk at its address, or that of a
// voter out of reach; -1 for a new seat.
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

// voterGone reports whether a voter's seat can be reassigned.
func (r *Replica) voterGone(now time.Duration, id view.ReplicaID) bool {
	if id == r.self.ID || r.view.InChain(id) {
		return false
	}
	p := r.peer(id, now)
	return p.gone || p.leaving || now-p.ackedAt > voterTimeout
}

// reconcileVoters reassigns the votes of lost disks, drops a voter out of reach that isn't needed, and starts a new epoch to clear a
// promise that keeps a member from granting.
func (r *Replica) reconcileVoters(now time.Duration) {
	next := r.view.Next()
	if r.reassignSeats(now, &next) {
		r.startProposal(now, next, r.seatCause(now, next))
		return
	}
	if len(next.Voters) > 2*r.cfg.Tolerance+1 {
		gone := slices.IndexFunc(next.Voters, func(m view.Member) bool { return r.voterGone(now, m.ID) })
		if gone >= 0 {
			next.Voters = slices.Delete(next.Voters, gone, gone+1)
			r.startProposal(now, next, r.seatCause(now, next))
			return
		}
	}
	for _, member := range r.view.Chain {
		if p := r.peers[member.ID]; p != nil && p.refusedSince != 0 && now-p.refusedSince > refusedGrantTimeout {
			r.startProposal(now, next, Cause{Kind: CausePromise, Member: member.ID, Silence: now - p.refusedSince, Patience: refusedGrantTimeout})
			return
		}
	}
}
