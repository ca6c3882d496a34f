package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func ballot(round uint64, owner ReplicaID) Ballot { return Ballot{Round: round, Owner: owner, Life: 1} }

func TestBallotsOfTwoIncarnationsDiffer(t *testing.T) {
	first, second := Ballot{Owner: "a", Life: 1}, Ballot{Owner: "a", Life: 2}
	assert.NotZero(t, first.Compare(second))
	assert.Negative(t, ballot(1, "b").Compare(ballot(2, "a")))
	assert.Negative(t, ballot(1, "a").Compare(ballot(1, "b")))
}

func TestAcceptorKeepsItsPromise(t *testing.T) {
	var a Acceptor
	low, high := ballot(1, "a"), ballot(2, "b")
	value := View{Epoch: 1, Voters: members("a"), Chain: members("a")}
	require.True(t, a.Prepare(high))
	require.False(t, a.Prepare(low))
	require.False(t, a.Accept(low, value))
	require.True(t, a.Prepare(high), "the same ballot again")
	require.True(t, a.Accept(high, value))
	require.Equal(t, high, a.Accepted)
	assert.True(t, a.Value.Equal(value))
}

func TestAcceptedBallotIsPromised(t *testing.T) {
	var a Acceptor
	require.True(t, a.Accept(ballot(2, "b"), View{}))
	require.False(t, a.Prepare(ballot(1, "a")))
	assert.False(t, a.Accept(ballot(1, "a"), View{}))
}

func TestProposerAdoptsTheHighestAcceptedValue(t *testing.T) {
	low, high := View{Epoch: 1, Chain: members("low")}, View{Epoch: 1, Chain: members("high")}
	for _, order := range [][]ReplicaID{{"b", "c"}, {"c", "b"}} {
		p := NewProposer("a", 1)
		p.Prepare(1, nil)
		for _, from := range order {
			promise := &Promise{Ballot: p.Ballot, OK: true, Accepted: ballot(1, "b"), Value: &low}
			if from == "c" {
				promise.Accepted, promise.Value = ballot(2, "a"), &high
			}
			p.Promised(1, from, promise, 2)
		}
		require.NotZero(t, p.Majority)
		assert.True(t, p.Found().Equal(high))
	}
}

func TestProposerCountsEachVoterOnce(t *testing.T) {
	p := NewProposer("a", 1)
	p.Prepare(1, nil)
	p.Promised(1, "b", &Promise{Ballot: p.Ballot, OK: true}, 2)
	p.Promised(1, "b", &Promise{Ballot: p.Ballot, OK: true}, 2)
	p.Promised(1, "c", &Promise{Ballot: p.Ballot}, 2)
	p.Promised(1, "c", &Promise{Ballot: ballot(9, "a"), OK: true}, 2)
	require.Zero(t, p.Majority)
	p.Promised(1, "c", &Promise{Ballot: p.Ballot, OK: true}, 2)
	require.NotZero(t, p.Majority)
	p.Accept(1, &View{})
	decided, _ := p.Accepted("b", &Accepted{Ballot: p.Ballot, OK: true}, 2)
	require.False(t, decided, "promises do not count as votes")
	decided, _ = p.Accepted("b", &Accepted{Ballot: p.Ballot, OK: true}, 2)
	require.False(t, decided)
	decided, _ = p.Accepted("c", &Accepted{Ballot: ballot(9, "a"), OK: true}, 2)
	require.False(t, decided)
	decided, _ = p.Accepted("c", &Accepted{Ballot: p.Ballot}, 2)
	require.False(t, decided)
	decided, _ = p.Accepted("c", &Accepted{Ballot: p.Ballot, OK: true}, 2)
	assert.True(t, decided)
}

// A proposer that starts a new ballot drops the promises of the earlier one and takes a ballot above the one that preempted it.
func TestNewBallotDropsEarlierPromises(t *testing.T) {
	p := NewProposer("a", 1)
	p.Prepare(1, nil)
	first := p.Ballot
	p.Promised(1, "b", &Promise{Ballot: first, OK: true}, 2)
	preempted := p.Promised(1, "c", &Promise{Ballot: first, Promised: ballot(7, "c")}, 2)
	require.True(t, preempted)
	p.Prepare(2, nil)
	require.Positive(t, p.Ballot.Compare(ballot(7, "c")))
	p.Promised(2, "c", &Promise{Ballot: p.Ballot, OK: true}, 2)
	assert.Zero(t, p.Majority, "b has not promised the new ballot")
}

func TestMajorityIsMoreThanHalf(t *testing.T) {
	for voters, want := range []int{1, 1, 2, 2, 3, 3} {
		v := View{Voters: make([]Member, voters)}
		assert.Equal(t, want, v.Majority(), "majority of %d voters", voters)
	}
}

func TestLeaseCountsFromTheOldestGrantOfAMajority(t *testing.T) {
	v := View{Voters: members("a", "b", "c", "d", "e")}
	l := NewLease(time.Second, 0)
	for i, id := range []ReplicaID{"a", "b", "c", "d"} {
		l.Granted(id, l.Sent(time.Duration(10-i)*time.Second))
	}
	since, ok := l.MajoritySince(v)
	require.True(t, ok)
	require.Equal(t, 8*time.Second, since, "the oldest grant of a, b and c")
	l = NewLease(time.Second, 0)
	for _, id := range []ReplicaID{"a", "x", "y", "z"} {
		l.Granted(id, l.Sent(time.Second))
	}
	assert.Zero(t, l.Until(v), "grants of replicas that are not voters do not count")
}

// A heartbeat so old that its sending time is no longer kept must not count with the time of the one that reuses its slot.
func TestUntrackedHeartbeatDoesNotCount(t *testing.T) {
	v := View{Voters: members("a")}
	l := NewLease(time.Second, 100)
	old := l.Sent(time.Second)
	for range trackedHeartbeats {
		l.Sent(time.Minute)
	}
	l.Granted("a", old)
	require.Zero(t, l.Until(v))
	l.Granted("a", old+1)
	assert.NotZero(t, l.Until(v))
}

func TestUnknownHeartbeatNumbersDoNotCount(t *testing.T) {
	v := View{Voters: members("a")}
	l := NewLease(time.Second, 100)
	l.Sent(time.Minute)
	for _, number := range []uint64{0, 100, 102, 101 + trackedHeartbeats} {
		l.Granted("a", number)
		require.Zero(t, l.Until(v), "heartbeat number %d", number)
	}
}
