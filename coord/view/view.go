package view

import "slices"

// ReplicaID identifies the disk of a replica. A replica that has lost its disk gets another ID.
type ReplicaID string

// Member is a replica and its addresses.
type Member struct {
	ID      ReplicaID
	Address string // ip:port of the protocol between replicas
	Control string // ip:port of the operator's API, passed on without being interpreted
}

// View is a configuration that the voters of the previous epoch have agreed on. A View without voters is unknown.
type View struct {
	Epoch  uint64
	Voters []Member // they decide on the view of Epoch+1; every member of Chain is one of them
	Chain  []Member // head first, tail last
}

// Known reports whether the view is known, that is, whether it has voters.
func (v View) Known() bool { return len(v.Voters) > 0 }

// Majority returns the number of voters that form a majority.
func (v View) Majority() int { return len(v.Voters)/2 + 1 }

// Head returns the first member of the chain, or the zero Member.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail returns the last member of the chain, or the zero Member.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// Position returns the position of a replica in the chain, counted from 0 at the head, or -1 if it is not in the chain.
func (v View) Position(id ReplicaID) int { return position(v.Chain, id) }

// InChain reports whether a replica is in the chain.
func (v View) InChain(id ReplicaID) bool { return v.Position(id) >= 0 }

// IsVoter reports whether a replica is one of the voters.
func (v View) IsVoter(id ReplicaID) bool { return position(v.Voters, id) >= 0 }

// Next returns a copy of the view with the next epoch. The copy shares no slices with v.
func (v View) Next() View {
	return View{Epoch: v.Epoch + 1, Voters: slices.Clone(v.Voters), Chain: slices.Clone(v.Chain)}
}

// Equal reports whether two views have the same epoch, voters and chain.
func (v View) Equal(w View) bool {
	return v.Epoch == w.Epoch && slices.Equal(v.Voters, w.Voters) && slices.Equal(v.Chain, w.Chain)
}

func position(members []Member, id ReplicaID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// Without returns a new slice with the members for which excluded returns false.
func Without(members []Member, excluded func(ReplicaID) bool) []Member {
	kept := make([]Member, 0, len(members))
	for _, member := range members {
		if !excluded(member.ID) {
			kept = append(kept, member)
		}
	}
	return kept
}
