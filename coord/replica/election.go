package replica

import (
	"time"

	"gaugeslip/coord/view"
)

// expectHead sets when to stand for the head's place if nothing is heard from the head till then.
func (r *Replica) expectHead(now time.Duration) {
	r.expectedAt, r.electPaused, r.electExcused = now, 0, 0
	at := r.position()
	if at < 0 || r.leading() {
		r.electAt = never
		return
	}
	r.electAt = now + r.cfg.Grant + r.cfg.Grant/20 + r.silencePatience(now, r.view.Head().ID) + time.Duration(max(at-1, 0))*electionStagger + r.jitter(electionJitter)
}

// elect stands for the head's place when it is time.
func (r *Replica) elect(now time.Duration) {
	if !r.judging || now < r.electAt || r.proposer.Active() || r.position() < 0 || r.leaving || r.ownDiskStalls(now) {
		return
	}
	if !r.stands(now) {
		r.because(now, r.headSilence(now))
	}
	r.prepare(now, nil)
}

// stands tells whether the cause to stand is known already.
func (r *Replica) stands(now time.Duration) bool {
	return r.position() == 0 && (r.cause.Kind == CauseMajorityLost || r.cause.Kind == CauseRestart || r.cause.Kind == CauseOwnDisk)
}

// propose begins with a wish of the head's. Nothing is appended in this epoch any more.
func (r *Replica) propose(now time.Duration, next view.View, cause Cause) {
	r.because(now, cause)
	r.abdicate(now)
	r.outbidAt = 0
	r.proposer.AcceptWithoutPrepare(now, &next)
	r.repeat(now)
}

// prepare begins a ballot above all known ones.
func (r *Replica) prepare(now time.Duration, wish *view.View) {
	r.abdicate(now)
	r.outbidAt = 0
	r.proposer.Prepare(now, wish)
	r.repeat(now)
}

// pursue repeats a ballot, or goes on to its second phase.
func (r *Replica) pursue(now time.Duration) {
	if !r.proposer.Active() {
		return
	}
	if r.proposer.Phase == view.Preparing && r.proposer.Majority != 0 {
		r.acceptWhenReady(now)
	}
	if now < r.repeatAt {
		return
	}
	if r.outbidAt != 0 {
		r.prepare(now, nil)
		return
	}
	r.repeat(now)
}

// repeat sends the ballot to all voters whose votes are missing. A ballot that was outbid is begun anew.
func (r *Replica) repeat(now time.Duration) {
	if r.proposer.Phase == view.Idle {
		return
	}
	r.repeatAt = now + ballotRepeat
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

// outbid begins a higher ballot, after a moment in which the other may get through.
func (r *Replica) outbid(now time.Duration) {
	if r.outbidAt == 0 {
		r.outbidAt = now + r.cfg.HeartbeatEvery/10 + r.jitter(r.cfg.HeartbeatEvery/2)
		r.repeatAt = r.outbidAt
	}
}

// acceptWhenReady chooses the value once a majority has promised.
func (r *Replica) acceptWhenReady(now time.Duration) {
	value := r.proposer.Found()
	if value == nil {
		value = r.proposer.Value
	}
	if value == nil {
		value = r.successor(now)
	}
	if value == nil || !r.readsOver(now, *value) {
		return
	}
	r.proposer.Accept(now, value)
	r.repeat(now)
}

// successor is the view with all members that have answered, or nil while it is worth waiting for more. Those that want to leave and
// those that haven't answered stay at the chain's end as far as f+1 are needed: they have everything and may lead yet.
func (r *Replica) successor(now time.Duration) *view.View {
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
	if missing && now-r.proposer.Majority < electionPatience {
		return nil
	}
	spared := append(leaving, silent...)
	need := min(max(r.cfg.Tolerance+1-len(members), 0), len(spared))
	next.Chain = append(members, spared[:need]...)
	return &next
}

func (r *Replica) onPrepare(now time.Duration, from view.Member, m *view.Prepare) {
	reply := &view.Promise{Ballot: m.Ballot, Leaving: r.leaving || r.ownDiskStalls(now)}
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
	r.sendStored(from, &Message{Promise: reply})
}

// mayVote tells whether this replica votes, and has no grant out to another that may still use it.
func (r *Replica) mayVote(now time.Duration, b view.Ballot) bool {
	if !r.view.IsVoter(r.self.ID) {
		return false
	}
	head := r.view.Head().ID
	return now >= r.grant || b.Owner == head || r.replaced(head)
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
	r.sendStored(from, &Message{Accepted: reply})
}

func (r *Replica) onPromise(now time.Duration, from view.Member, m *view.Promise) {
	if r.proposer.Promised(now, from.ID, m, r.view.Majority()) {
		r.outbid(now)
	}
}

func (r *Replica) onAccepted(now time.Duration, from view.Member, m *view.Accepted) {
	decided, outbid := r.proposer.Accepted(from.ID, m, r.view.Majority())
	if outbid {
		r.outbid(now)
	}
	if decided {
		r.decided(now)
	}
}

// decided takes the value that a majority has accepted and tells all whom it concerns.
func (r *Replica) decided(now time.Duration) {
	before := r.view
	next := *r.proposer.Value
	unheard := !r.proposer.Answered(next.Head().ID)
	silent := r.silentOf(next)
	r.learn(now, next, r.self.ID)
	for _, id := range silent {
		r.peer(id, now).silent = r.position() == 0
	}
	if unheard && r.position() > 0 {
		r.electAt = now + electionUnheard + r.jitter(electionJitter)
	}
	told := map[view.ReplicaID]bool{r.self.ID: true}
	for _, members := range [][]view.Member{next.Voters, before.Voters, next.Chain} {
		for _, member := range members {
			if !told[member.ID] {
				told[member.ID] = true
				r.send(member, &Message{View: r.viewCopy()})
			}
		}
	}
}

// silentOf are the members of the next chain that haven't answered a candidate.
func (r *Replica) silentOf(next view.View) []view.ReplicaID {
	var silent []view.ReplicaID
	for _, member := range next.Chain {
		if r.proposer.Ballot.Round > 0 && member.ID != r.self.ID && !r.proposer.Answered(member.ID) {
			silent = append(silent, member.ID)
		}
	}
	return silent
}
