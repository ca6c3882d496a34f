package view

import "cmp"

// Ballot orders the proposals in one instance. Life is the incarnation of the owner: it differs after each restart, so
// that a restarted proposer never uses a ballot twice. Round 0 belongs to the head of the view whose voters decide. The
// head may skip Prepare in round 0, once, in the incarnation in which it became head.
type Ballot struct {
	Round uint64
	Owner ReplicaID
	Life  uint64
}

// Compare returns a negative number if b is lower than c, zero if they are equal, and a positive number if b is higher.
func (b Ballot) Compare(c Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, c.Round), cmp.Compare(b.Owner, c.Owner), cmp.Compare(b.Life, c.Life))
}

// IsZero reports whether b is the zero Ballot, which stands for no ballot.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Acceptor is the state of a voter in one Paxos instance. Instance e+1 is decided by the voters of epoch e. The state
// must be on disk before an answer that depends on it is sent.
type Acceptor struct {
	Instance uint64
	Promised Ballot
	Accepted Ballot
	Value    *View // the value accepted in ballot Accepted, or nil
}

// Reset starts another instance with an empty state.
func (a *Acceptor) Reset(instance uint64) { *a = Acceptor{Instance: instance} }

// Prepare promises to accept no lower ballot than b. It reports false and changes nothing if a higher one has been promised.
func (a *Acceptor) Prepare(b Ballot) bool {
	if b.Compare(a.Promised) < 0 {
		return false
	}
	a.Promised = b
	return true
}

// Accept accepts the value in ballot b, which also promises b. It reports false and changes nothing if a higher ballot has been
// promised.
func (a *Acceptor) Accept(b Ballot, value View) bool {
	if b.Compare(a.Promised) < 0 {
		return false
	}
	a.Promised, a.Accepted, a.Value = b, b, &value
	return true
}

// PromisedToOther reports whether a ballot of a replica other than the head has been promised. The voter must then give the head
// no more grants.
func (a *Acceptor) PromisedToOther(head ReplicaID) bool {
	return !a.Promised.IsZero() && a.Promised.Owner != head
}
