package view

import "time"

// Phase is the state of a proposer.
type Phase uint8

// The states of a proposer. Decided is left by learning the view.
const (
	Idle Phase = iota
	Preparing
	Accepting
	Decided
)

// Proposer is a proposer's part of one instance.
type Proposer struct {
	Phase        Phase
	Ballot       Ballot
	Value        *View         // the one to be accepted; before that the one wished for, if any
	Began        time.Duration // this ballot
	Majority     time.Duration // when a majority had promised; zero before
	self         ReplicaID
	incarnation  uint64
	highestRound uint64 // highest seen
	answered     map[ReplicaID]bool
	voted        map[ReplicaID]bool
	leaving      map[ReplicaID]bool
	foundBallot  Ballot
	found        *View
}

// NewProposer makes an idle proposer; life differs between the lives of a replica.
func NewProposer(self ReplicaID, incarnation uint64) Proposer {
	return Proposer{self: self, incarnation: incarnation}
}

// Reset goes to the next instance.
func (p *Proposer) Reset() { *p = NewProposer(p.self, p.incarnation) }

// Active tells whether an instance is being worked on.
func (p *Proposer) Active() bool { return p.Phase != Idle }

// Prepare begins a ballot above all that were seen. A proposal of an earlier ballot is kept unless another is given.
func (p *Proposer) Prepare(now time.Duration, proposal *View) {
	if proposal != nil {
		p.Value = proposal
	}
	p.highestRound++
	p.begin(now, Preparing, Ballot{Round: p.highestRound, Owner: p.self, Life: p.incarnation})
	p.foundBallot, p.found = Ballot{}, nil
}

// AcceptAtOnce begins the ballot of round 0, which is the head's alone and needs no promises.
func (p *Proposer) AcceptAtOnce(now time.Duration, value *View) {
	p.Value = value
	p.begin(now, Accepting, Ballot{Owner: p.self, Life: p.incarnation})
}

// Accept goes on to the second phase.
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

// Promised takes an answer to Prepare and tells whether a higher ballot is in the way.
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

// Accepted takes an answer to Accept and tells whether the value is decided, or a higher ballot in the way.
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

// observe notes a ballot and tells whether it is above the present one.
func (p *Proposer) observe(b Ballot) bool {
	p.highestRound = max(p.highestRound, b.Round)
	return b.Compare(p.Ballot) > 0
}

// Found is the value that has to be proposed because a voter may have accepted it, or nil.
func (p *Proposer) Found() *View { return p.found }

// Answered tells whether a replica has answered this ballot.
func (p *Proposer) Answered(id ReplicaID) bool { return p.answered[id] }

// Leaving tells whether a replica has said that it wants out.
func (p *Proposer) Leaving(id ReplicaID) bool { return p.leaving[id] }

// Missing tells whether the vote of a replica is still to come in this phase.
func (p *Proposer) Missing(id ReplicaID) bool { return !p.voted[id] }
