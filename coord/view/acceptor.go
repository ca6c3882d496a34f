package view

import "cmp"

// Ballot orders the attempts at one instance. Life differs between the lives of one owner, so that a restarted
// proposer never uses a ballot twice. Round 0 belongs to the head of the view that votes; it may skip Prepare,
// once, in the life in which it became head.
type Ballot struct {
	Round uint64
	Owner ReplicaID
	Life  uint64
}

// Compare is negative if b comes before c.
func (b Ballot) Compare(c Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, c.Round), cmp.Compare(b.Owner, c.Owner), cmp.Compare(b.Life, c.Life))
}

// IsZero tells whether this is no ballot.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Acceptor is a voter's part of one instance. Instance e+1 is decided by the voters of epoch e. Its state has to
// be on disk before an answer leaves the machine.
type Acceptor struct {
	Instance uint64
	Promised Ballot
	Accepted Ballot
	Value    *View // with Accepted
}

// Reset goes to another instance.
func (a *Acceptor) Reset(instance uint64) { *a = Acceptor{Instance: instance} }

// Prepare promises to accept nothing below the ballot, unless a higher one has been promised.
func (a *Acceptor) Prepare(b Ballot) bool {
	if b.Compare(a.Promised) < 0 {
		return false
	}
	a.Promised = b
	return true
}

// Accept takes the value, unless a higher ballot has been promised.
func (a *Acceptor) Accept(b Ballot, value View) bool {
	if b.Compare(a.Promised) < 0 {
		return false
	}
	a.Promised, a.Accepted, a.Value = b, b, &value
	return true
}

// PromisedToOther tells whether another than the head has been promised a ballot: no more grants then.
func (a *Acceptor) PromisedToOther(head ReplicaID) bool {
	return !a.Promised.IsZero() && a.Promised.Owner != head
}
