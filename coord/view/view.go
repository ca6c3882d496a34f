package view

import "slices"

// ReplicaID names the disk of a replica. A replica that lost its disk has another one.
type ReplicaID string

// Member is a replica and where it is reached.
type Member struct {
	ID      ReplicaID
	Address string // ip:port of the replicas' own protocol
	Control string // ip:port of the operator's API, passed on unread
}

// View is what the voters of the epoch before have agreed on. A View without voters is unknown.
type View struct {
	Epoch  uint64
	Voters []Member // decide on Epoch+1; every member of Chain is one of them
	Chain  []Member // head first, tail last
}

// Known tells whether there is a view at all.
func (v View) Known() bool { return len(v.Voters) > 0 }

// Majority is the number of voters that decide.
func (v View) Majority() int { return len(v.Voters)/2 + 1 }

// Head is the first member of the chain, or the zero Member.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail is the last member of the chain, or the zero Member.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// Position is the place of a replica in the chain, -1 if it has none.
func (v View) Position(id ReplicaID) int { return position(v.Chain, id) }

// InChain tells whether a replica is in the chain.
func (v View) InChain(id ReplicaID) bool { return v.Position(id) >= 0 }

// IsVoter tells whether a replica is one of the voters.
func (v View) IsVoter(id ReplicaID) bool { return position(v.Voters, id) >= 0 }

// Next is a copy of the view with the next epoch, whose lists may be changed.
func (v View) Next() View {
	return View{Epoch: v.Epoch + 1, Voters: slices.Clone(v.Voters), Chain: slices.Clone(v.Chain)}
}

// Equal tells whether two views are the same.
func (v View) Equal(w View) bool {
	return v.Epoch == w.Epoch && slices.Equal(v.Voters, w.Voters) && slices.Equal(v.Chain, w.Chain)
}

func position(members []Member, id ReplicaID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// Without is the list without the replicas that excluded tells of, in a new slice.
func Without(members []Member, excluded func(ReplicaID) bool) []Member {
	kept := make([]Member, 0, len(members))
	for _, member := range members {
		if !excluded(member.ID) {
			kept = append(kept, member)
		}
	}
	return kept
}
