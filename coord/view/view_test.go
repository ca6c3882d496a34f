package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func members(ids ...ReplicaID) []Member {
	var list []Member
	for _, id := range ids {
		list = append(list, Member{ID: id, Address: "ip-" + string(id), Control: "c-" + string(id)})
	}
	return list
}

func TestMajorityAndPlaces(t *testing.T) {
	v := View{Epoch: 3, Voters: members("a", "b", "c", "d"), Chain: members("b", "a")}
	assert.Equal(t, 3, v.Majority())
	assert.Equal(t, ReplicaID("b"), v.Head().ID)
	assert.Equal(t, ReplicaID("a"), v.Tail().ID)
	assert.Equal(t, -1, v.Position("c"))
	assert.False(t, View{}.Known())
	next := v.Next()
	next.Chain[0] = Member{ID: "x"}
	assert.Equal(t, ReplicaID("b"), v.Head().ID, "Next must not share its lists")
}

func TestCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Acceptor{Instance: rapid.Uint64().Draw(t, "instance")}
		a.Promised = Ballot{Round: rapid.Uint64().Draw(t, "round"), Owner: ReplicaID(rapid.String().Draw(t, "owner")), Life: rapid.Uint64().Draw(t, "life")}
		if rapid.Bool().Draw(t, "accepted") {
			a.Accepted = a.Promised
			a.Value = &View{Epoch: a.Instance, Voters: members("a", "b"), Chain: members("a")}
		}
		data := AppendAcceptor(nil, a)
		got, err := DecodeAcceptor(data)
		require.NoError(t, err)
		require.Equal(t, a, got)
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		_, err = DecodeAcceptor(data[:cut])
		require.ErrorIs(t, err, ErrCorrupt)
	})
}

// Random prepares and accepts, in any order and any number of times: at most one value is ever chosen.
func TestOneValueIsChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := members("a", "b", "c")
		v := View{Voters: voters}
		acceptors := map[ReplicaID]*Acceptor{"a": {}, "b": {}, "c": {}}
		proposers := map[ReplicaID]*Proposer{}
		for i, m := range voters {
			p := NewProposer(m.ID, uint64(i+7))
			proposers[m.ID] = &p
		}
		chosen := map[Ballot]int{}
		var value *View
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.SampledFrom(voters).Draw(t, "proposer").ID
			to := rapid.SampledFrom(voters).Draw(t, "acceptor").ID
			p, a := proposers[from], acceptors[to]
			switch {
			case p.Phase == Idle || rapid.IntRange(0, 9).Draw(t, "again") == 0:
				p.Prepare(0, &View{Epoch: 1, Voters: voters, Chain: members(from)})
			case p.Phase == Preparing:
				m := &Promise{Ballot: p.Ballot, Promised: a.Promised}
				if m.OK = a.Prepare(p.Ballot); m.OK {
					m.Accepted, m.Value = a.Accepted, a.Value
				}
				p.Promised(1, to, m, v.Majority())
				if p.Majority != 0 {
					wish := p.Value
					if p.Found() != nil {
						wish = p.Found()
					}
					p.Accept(1, wish)
				}
			default:
				m := &Accepted{Ballot: p.Ballot, Promised: a.Promised}
				m.OK = a.Accept(p.Ballot, *p.Value)
				if m.OK {
					chosen[p.Ballot]++
				}
				if decided, _ := p.Accepted(to, m, v.Majority()); decided {
					if value == nil {
						value = p.Value
					}
					require.True(t, value.Equal(*p.Value), "two values were chosen")
				}
			}
		}
	})
}

func TestLeaseCountsFromTheSending(t *testing.T) {
	const grant = time.Second
	v := View{Voters: members("a", "b", "c")}
	l := NewLease(grant, 100)
	assert.Zero(t, l.Until(v))
	first := l.Sent(10 * time.Second)
	second := l.Sent(11 * time.Second)
	l.Granted("a", second)
	assert.Zero(t, l.Until(v), "one of three is no majority")
	l.Granted("b", first)
	assert.Equal(t, 10*time.Second+grant*9/10, l.Until(v))
	l.Granted("c", second)
	assert.Equal(t, 11*time.Second+grant*9/10, l.Until(v))
	l.Granted("b", first)
	l.Granted("b", second+1)
	l.Granted("b", 99)
	assert.Equal(t, 11*time.Second+grant*9/10, l.Until(v), "answers to what this life hasn't sent don't count")
}

func TestPromisedAway(t *testing.T) {
	var a Acceptor
	assert.False(t, a.PromisedToOther("a"))
	require.True(t, a.Prepare(Ballot{Round: 2, Owner: "b"}))
	assert.True(t, a.PromisedToOther("a"))
	assert.False(t, a.Prepare(Ballot{Round: 1, Owner: "c"}))
	assert.False(t, a.Accept(Ballot{Owner: "a"}, View{}), "the head's own round comes too late")
}
