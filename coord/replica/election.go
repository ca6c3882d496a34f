package replica

import (
	"time"

	"gaugeslip/coord/view"
)

// resetElectionTimer sets when this replica starts an election if it doesn't hear the head until then.
func (r *Replica) resetElectionTimer(now time.Duration) {
	r.headExpectedSince, r.electionPaused, r.electionShortPaused = now, 0, 0
	at := r.position()
	if at < 0 || r.leading() {
		r.electionAt = never
		return
	}
	r.electionAt = now + r.cfg.Grant + r.cfg.Grant/20 + r.silenceAllowance(now, r.view.Head().ID) +
		time.Duration(max(at-1, 0))*electionStagger + r.jitter(electionJitter)
}

// electIfDue starts an election once the election timer has run out.
func (r *Replica) electIfDue(now time.Duration) {
	if !r.checkTimeouts || now < r.electionAt || r.proposer.Active() || r.position() < 0 || r.leaving || r.ownDiskStalled(now) {
		return
	}
	if !r.electionCauseKnown(now) {
		r.setCause(now, r.headSilentCause(now))
	}
	r.startBallot(now, nil)
}

// electionCauseKnown reports whether the cause of the next election is recorded already.
func (r *Replica) electionCauseKnown(now time.Duration) bool {
	return r.position() == 0 &&
		(r.proposalCause.Kind == CauseMajorityLost || r.proposalCause.Kind == CauseRestart || r.proposalCause.Kind == CauseOwnDisk)
}

// startProposal starts a ballot for a view that the head proposes. Nothing is appended in this epoch any more.
func (r *Replica) startProposal(now time.Duration, next view.View, cause Cause) {
	r.setCause(now, cause)
	r.stepDown(now)
	r.higherBallotAt = 0
	r.proposer.AcceptWithoutPrepare(now, &next)
	r.sendBallot(now)
}

// startBallot starts a ballot above all known ones.
func (r *Replica) startBallot(now time.Duration, value *view.View) {
	r.stepDown(now)
	r.higherBallotAt = 0
	r.proposer.Prepare(now, value)
	r.sendBallot(now)
}

// advanceBallot resends a ballot, moves it on to its second phase, or starts a higher one after it was outbid.
func (r *Replica) advanceBallot(now time.Duration) {
	if !r.proposer.Active() {
		return
	}
	if r.proposer.Phase == view.Preparing && r.proposer.Majority != 0 {
		r.acceptWhenReady(now)
	}
	if now < r.ballotRetryAt {
		return
	}
	if r.higherBallotAt != 0 {
		r.startBallot(now, nil)
		return
	}
	r.sendBallot(now)
}

// sendBallot sends the ballot to all voters whose votes are missing.
func (r *Replica) sendBallot(now time.Duration) {
	if r.proposer.Phase == view.Idle {
		return
	}
	r.ballotRetryAt = now + ballotRetryInterval
	for _, voter := range r.view.Voters {
		if !r.proposer.AwaitsVote(voter.ID) {
			continue
		}
		m := &Message{View: r.viewCopy()}
		if r.proposer.Phase == view.Preparing {
			m.Prepare = &view.Prepare{Ballot: r.proposer.Ballot}
		} else {
			m.Accept = &view.Accept{Ballot: r.proposer.Ballot, Value: *r.proposer.Value}
		}
		r.send(voter, m)
	}
}

// scheduleHigherBallot schedules a higher ballot after a delay in which the other candidate's ballot may succeed.
func (r *Replica) scheduleHigherBallot(now time.Duration) {
	if r.higherBallotAt == 0 {
		r.higherBallotAt = now + r.cfg.HeartbeatEvery/10 + r.jitter(r.cfg.HeartbeatEvery/2)
		r.ballotRetryAt = r.higherBallotAt
	}
}

// acceptWhenReady chooses the value once a majority has promised, and starts the second phase.
func (r *Replica) acceptWhenReady(now time.Duration) {
	value := r.proposer.Found()
	if value == nil {
		value = r.proposer.Value
	}
	if value == nil {
		value = r.successorView(now)
	}
	if value == nil || !r.readsExpired(now, *value) {
		return
	}
	r.proposer.Accept(now, value)
	r.sendBallot(now)
}

// successorView returns the view with all members that have answered, or nil while it is worth waiting for more answers. Members that
// want to leave, and those that haven't answered, stay at the chain's end as far as f+1 members are needed: they have every committed
// entry and may still lead.
func (r *Replica) successorView(now time.Duration) *view.View {
	next := r.view.Next()
	var members, leaving, silent []view.Member
	missing := false
	for i, member := range next.Chain {
		switch {
		case member.ID != r.self.ID && !r.proposer.Answered(member.ID):
			missing = missing || i > 0
			silent = append(silent, member)
		case member.ID == r.self.ID && r.leaving || r.proposer.Leaving(member.ID):
			leaving = append(leaving, member)
		default:
			members = append(members, member)
		}
	}
	if missing && now-r.proposer.Majority < lateVoteWait {
		return nil
	}
	spared := append(leaving, silent...)
	need := min(max(r.cfg.Tolerance+1-len(members), 0), len(spared))
	next.Chain = append(members, spared[:need]...)
	return &next
}

func (r *Replica) onPrepare(now time.Duration, from view.Member, m *view.Prepare) {
	reply := &view.Promise{Ballot: m.Ballot, Leaving: r.leaving || r.ownDiskStalled(now)}
	if !r.mayVote(now, m.Ballot) {
		r.send(from, &Message{Promise: reply})
		return
	}
	before := r.acceptor.Promised
	if !r.acceptor.Prepare(m.Ballot) {
		reply.Promised = before
		r.send(from, &Message{Promise: reply})
		return
	}
	if m.Ballot != before {
		r.store(encodeAcceptor(r.acceptor))
	}
	reply.OK, reply.Accepted, reply.Value = true, r.acceptor.Accepted, r.acceptor.Value
	r.sendAfterSync(from, &Message{Promise: reply})
}

// mayVote reports whether this replica is a voter and has no grant out to another replica that may still use it.
func (r *Replica) mayVote(now time.Duration, b view.Ballot) bool {
	if !r.view.IsVoter(r.self.ID) {
		return false
	}
	head := r.view.Head().ID
	return now >= r.grantUntil || b.Owner == head || r.replaced(head)
}

func (r *Replica) onAccept(now time.Duration, from view.Member, m *view.Accept) {
	reply := &view.Accepted{Ballot: m.Ballot}
	if !r.mayVote(now, m.Ballot) {
		r.send(from, &Message{Accepted: reply})
		return
	}
	before := r.acceptor
	if !r.acceptor.Accept(m.Ballot, m.Value) {
		reply.Promised = before.Promised
		r.send(from, &Message{Accepted: reply})
		return
	}
	if m.Ballot != before.Accepted {
		r.store(encodeAcceptor(r.acceptor))
	}
	reply.OK = true
	r.sendAfterSync(from, &Message{Accepted: reply})
}

func (r *Replica) onPromise(now time.Duration, from view.Member, m *view.Promise) {
	if r.proposer.Promised(now, from.ID, m, r.view.Majority()) {
		r.scheduleHigherBallot(now)
	}
}

func (r *Replica) onAccepted(now time.Duration, from view.Member, m *view.Accepted) {
	decided, outbid := r.proposer.Accepted(from.ID, m, r.view.Majority())
	if outbid {
		r.scheduleHigherBallot(now)
	}
	if decided {
		r.onDecided(now)
	}
}

// onDecided adopts the value that a majority has accepted, and sends it to the voters of both views and to the members of the new chain.
func (r *Replica) onDecided(now time.Duration) {
	before := r.view
	next := *r.proposer.Value
	unheard := !r.proposer.Answered(next.Head().ID)
	silent := r.unansweredMembers(next)
	r.adoptView(now, next, r.self.ID)
	for _, id := range silent {
		r.peer(id, now).silent = r.position() == 0
	}
	if unheard && r.position() > 0 {
		r.electionAt = now + silentHeadElectionDelay + r.jitter(electionJitter)
	}
	notified := map[view.ReplicaID]bool{r.self.ID: true}
	for _, members := range [][]view.Member{next.Voters, before.Voters, next.Chain} {
		for _, member := range members {
			if !notified[member.ID] {
				notified[member.ID] = true
				r.send(member, &Message{View: r.viewCopy()})
			}
		}
	}
}

// unansweredMembers returns the members of the next chain that haven't answered this candidate.
func (r *Replica) unansweredMembers(next view.View) []view.ReplicaID {
	var silent []view.ReplicaID
	for _, member := range next.Chain {
		if r.proposer.Ballot.Round > 0 && member.ID != r.self.ID && !r.proposer.Answered(member.ID) {
			silent = append(silent, member.ID)
		}
	}
	return silent
}
