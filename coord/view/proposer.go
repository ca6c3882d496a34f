package view

import "time"

// Phase is the state of a proposer.
type Phase uint8

// The states of a proposer. It leaves Decided when it learns the decided view.
const (
	Idle Phase = iota
	Preparing
	Accepting
	Decided
)

// Proposer is the state of a proposer in one Paxos instance.
type Proposer struct {
	Phase        Phase
	Ballot       Ballot
	Value        *View         // the value to be accepted; while Preparing the proposed value, or nil
	Began        time.Duration // when the current phase of this ballot started
	Majority     time.Duration // when a majority had promised; zero until then
	self         ReplicaID
	incarnation  uint64
	highestRound uint64 // highest round seen
	answered     map[ReplicaID]bool
	voted        map[ReplicaID]bool
	leaving      map[ReplicaID]bool
	foundBallot  Ballot
	found        *View
}

// NewProposer returns an idle proposer. The incarnation must differ after each restart of the replica.
func NewProposer(self ReplicaID, incarnation uint64) Proposer {
	return Proposer{self: self, incarnation: incarnation}
}

// Reset makes the proposer idle, for the next instance.
func (p *Proposer) Reset() { *p = NewProposer(p.self, p.incarnation) }

// Active reports whether a proposal is in progress.
func (p *Proposer) Active() bool { return p.Phase != Idle }

// Prepare starts a ballot above all that have been seen. A nil proposal keeps the value of an earlier ballot.
func (p *Proposer) Prepare(now time.Duration, proposal *View) {
	if proposal != nil {
		p.Value = proposal
	}
	p.highestRound++
	p.begin(now, Preparing, Ballot{Round: p.highestRound, Owner: p.self, Life: p.incarnation})
	p.foundBallot, p.found = Ballot{}, nil
}

// AcceptWithoutPrepare starts the ballot of round 0 in the accept phase. Only the head may use this round, and it needs no promises.
func (p *Proposer) AcceptWithoutPrepare(now time.Duration, value *View) {
	p.Value = value
	p.begin(now, Accepting, Ballot{Owner: p.self, Life: p.incarnation})
}

// Accept starts the accept phase of the current ballot with a value.
func (p *Proposer) Accept(now time.Duration, value *View) {
	p.Value = value
	p.Phase, p.Began = Accepting, now
	clear(p.voted)
}

func (p *Proposer) begin(now time.Duration, phase Phase, ballot Ballot) {
	p.Phase, p.Ballot, p.Began, p.Majority = phase, ballot, now, 0
	p.answered = make(map[ReplicaID]bool)
	p.voted = make(map[ReplicaID]bool)
	p.leaving = make(map[ReplicaID]bool)
}

// Promised handles an answer to Prepare and reports whether a higher ballot has preempted the current one.
func (p *Proposer) Promised(now time.Duration, from ReplicaID, m *Promise, majority int) (preempted bool) {
	if p.Phase != Preparing || m.Ballot != p.Ballot {
		return false
	}
	p.answered[from] = true
	p.leaving[from] = m.Leaving
	if !m.OK {
		return p.observe(m.Promised)
	}
	p.voted[from] = true
	if m.Value != nil && m.Accepted.Compare(p.foundBallot) > 0 {
		p.foundBallot, p.found = m.Accepted, m.Value
	}
	if len(p.voted) >= majority && p.Majority == 0 {
		p.Majority = now
	}
	return false
}

// Accepted handles an answer to Accept. It reports whether the value is decided, and whether a higher ballot has preempted the
// current one.
func (p *Proposer) Accepted(from ReplicaID, m *Accepted, majority int) (decided, preempted bool) {
	if p.Phase != Accepting || m.Ballot != p.Ballot {
		return false, false
	}
	p.answered[from] = true
	if !m.OK {
		return false, p.observe(m.Promised)
	}
	p.voted[from] = true
	return len(p.voted) >= majority, false
}

// observe records the round of a ballot and reports whether the ballot is higher than the current one.
func (p *Proposer) observe(b Ballot) bool {
	p.highestRound = max(p.highestRound, b.Round)
	return b.Compare(p.Ballot) > 0
}

// Found returns the value accepted in the highest ballot among the promises, or nil if there is none. The proposer must propose it,
// because it may already have been decided.
func (p *Proposer) Found() *View { return p.found }

// Answered reports whether a replica has answered in this ballot.
func (p *Proposer) Answered(id ReplicaID) bool { return p.answered[id] }

// Leaving reports whether a replica has said in this ballot that it wants to leave the chain.
func (p *Proposer) Leaving(id ReplicaID) bool { return p.leaving[id] }

// AwaitsVote reports whether a replica has not yet promised or voted in this phase.
func (p *Proposer) AwaitsVote(id ReplicaID) bool { return !p.voted[id] }
