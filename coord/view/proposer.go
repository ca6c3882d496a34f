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
	Phase    Phase
	Ballot   Ballot
	Value    *View         // the one to be accepted; before that the one wished for, if any
	Began    time.Duration // this ballot
	Majority time.Duration // when a majority had promised; zero before
	self     ReplicaID
	life     uint64
	round    uint64 // highest seen
	answered map[ReplicaID]bool
	voted    map[ReplicaID]bool
	leaving  map[ReplicaID]bool
	adopted  Ballot
	found    *View
}

// NewProposer makes an idle proposer; life differs between the lives of a replica.
func NewProposer(self ReplicaID, life uint64) Proposer { return Proposer{self: self, life: life} }

// Reset goes to the next instance.
func (p *Proposer) Reset() { *p = NewProposer(p.self, p.life) }

// Active tells whether an instance is being worked on.
func (p *Proposer) Active() bool { return p.Phase != Idle }

// Prepare begins a ballot above all that were seen. A wish of an earlier ballot is kept unless another is given.
func (p *Proposer) Prepare(now time.Duration, wish *View) {
	if wish != nil {
		p.Value = wish
	}
	p.round++
	p.begin(now, Preparing, Ballot{Round: p.round, Owner: p.self, Life: p.life})
	p.adopted, p.found = Ballot{}, nil
}

// AcceptWithoutPrepare begins the ballot of round 0, which is the head's alone and needs no promises.
func (p *Proposer) AcceptWithoutPrepare(now time.Duration, value *View) {
	p.Value = value
	p.begin(now, Accepting, Ballot{Owner: p.self, Life: p.life})
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
func (p *Proposer) Promised(now time.Duration, from ReplicaID, m *Promise, majority int) (outbid bool) {
	if p.Phase != Preparing || m.Ballot != p.Ballot {
		return false
	}
	p.answered[from] = true
	p.leaving[from] = m.Leaving
	if !m.OK {
		return p.saw(m.Promised)
	}
	p.voted[from] = true
	if m.Value != nil && m.Accepted.Compare(p.adopted) > 0 {
		p.adopted, p.found = m.Accepted, m.Value
	}
	if len(p.voted) >= majority && p.Majority == 0 {
		p.Majority = now
	}
	return false
}

// Accepted takes an answer to Accept and tells whether the value is decided, or a higher ballot in the way.
func (p *Proposer) Accepted(from ReplicaID, m *Accepted, majority int) (decided, outbid bool) {
	if p.Phase != Accepting || m.Ballot != p.Ballot {
		return false, false
	}
	p.answered[from] = true
	if !m.OK {
		return false, p.saw(m.Promised)
	}
	p.voted[from] = true
	return len(p.voted) >= majority, false
}

// saw notes a ballot and tells whether it is above the present one.
func (p *Proposer) saw(b Ballot) bool {
	p.round = max(p.round, b.Round)
	return b.Compare(p.Ballot) > 0
}

// Found is the value that has to be proposed because a voter may have accepted it, or nil.
func (p *Proposer) Found() *View { return p.found }

// Answered tells whether a replica has answered this ballot.
func (p *Proposer) Answered(id ReplicaID) bool { return p.answered[id] }

// Leaving tells whether a replica has said that it wants out.
func (p *Proposer) Leaving(id ReplicaID) bool { return p.leaving[id] }

// AwaitsVote tells whether the vote of a replica is still to come in this phase.
func (p *Proposer) AwaitsVote(id ReplicaID) bool { return !p.voted[id] }
