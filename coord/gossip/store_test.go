package gossip

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func value(key Key, major uint64, size int) Value {
	return Value{Key: key, Version: Version{Major: major}, Data: bytes.Repeat([]byte{byte(major)}, size)}
}

func set(t require.TestingT, s *Store, values ...Value) {
	for _, each := range values {
		_, err := s.Set(each)
		require.NoError(t, err)
	}
}

func TestVersionsAreOrderedByMajorThenMinor(t *testing.T) {
	assert.True(t, Version{2, 0}.Newer(Version{1, 9}))
	assert.True(t, Version{1, 2}.Newer(Version{1, 1}))
	assert.False(t, Version{1, 1}.Newer(Version{1, 1}))
	assert.Zero(t, Version{1, 1}.Compare(Version{1, 1}))
}

func TestSetAcceptsNewerVersionsOnly(t *testing.T) {
	s := NewStore()
	for _, step := range []struct {
		version Version
		learned bool
	}{{Version{}, false}, {Version{1, 1}, true}, {Version{1, 1}, false}, {Version{1, 0}, false}, {Version{2, 0}, true}} {
		learned, err := s.Set(Value{Key: "a", Version: step.version})
		require.NoError(t, err)
		assert.Equal(t, step.learned, learned, step.version)
	}
	got, ok := s.Get("a")
	assert.True(t, ok)
	assert.Equal(t, Version{2, 0}, got.Version)
	assert.Equal(t, []Value{got}, s.Values())
}

func TestSetRejectsTooLongValues(t *testing.T) {
	s := NewStore()
	_, err := s.Set(value("a", 1, MaxValueBytes+1))
	require.ErrorIs(t, err, ErrTooLong)
	learned, _, _ := s.HandlePush(0, Push{Values: []Value{value("a", 1, MaxValueBytes+1)}})
	assert.Empty(t, learned)
	assert.Zero(t, s.Hash())
	_, err = s.Set(value("a", 1, MaxValueBytes))
	require.NoError(t, err)
}

// A store that adds values in any order must have the newest version of each key. Its hash must depend only on those versions.
func TestStoreKeepsNewestVersionInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := NewStore(), NewStore()
		newest := map[Key]Version{}
		var all []Value
		for range rapid.IntRange(1, 40).Draw(t, "values") {
			key := rapid.SampledFrom([]Key{"a", "b", "c"}).Draw(t, "key")
			version := Version{rapid.Uint64Range(1, 4).Draw(t, "major"), rapid.Uint64Range(0, 3).Draw(t, "minor")}
			all = append(all, Value{Key: key, Version: version})
			before, _ := one.Get(key)
			set(t, one, all[len(all)-1])
			after, _ := one.Get(key)
			require.GreaterOrEqual(t, after.Version.Compare(before.Version), 0)
			if version.Newer(newest[key]) {
				newest[key] = version
			}
			require.Equal(t, newest[key], after.Version)
		}
		for _, i := range rand.New(rand.NewPCG(1, 1)).Perm(len(all)) {
			set(t, other, all[i])
		}
		require.Equal(t, one.Hash(), other.Hash())
		require.Equal(t, one.Digest(), other.Digest())
		newer := all[0]
		newer.Version.Major += 4
		set(t, other, newer)
		require.NotEqual(t, one.Hash(), other.Hash())
	})
}

func TestEqualStatesExchangeOnlyTheHash(t *testing.T) {
	one, other := NewStore(), NewStore()
	set(t, one, value("a", 1, 10), value("b", 1, 10))
	set(t, other, value("b", 1, 10), value("a", 1, 10))
	reply := other.HandleRequest(one.BeginExchange())
	assert.Equal(t, Reply{}, reply)
	learned, push := one.HandleReply(0, reply)
	assert.Empty(t, learned)
	assert.Nil(t, push)
}

func TestKnownEarlierStateGetsOnlyLaterChanges(t *testing.T) {
	behind, ahead := NewStore(), NewStore()
	set(t, ahead, value("a", 1, 10), value("b", 1, 10))
	set(t, behind, value("a", 1, 10), value("b", 1, 10))
	set(t, ahead, value("b", 2, 10), value("b", 3, 10), value("long", 1, MaxReplyBytes+1))
	reply := ahead.HandleRequest(behind.BeginExchange())
	assert.Equal(t, Reply{Values: []Value{value("b", 3, 10)}, Announced: []KeyVersion{value("long", 1, MaxReplyBytes+1).KeyVersion()}}, reply)
	learned, push := behind.HandleReply(0, reply)
	assert.Equal(t, []Value{value("b", 3, 10)}, learned)
	require.NotNil(t, push)
	assert.Equal(t, MaxReplyBytes+1, push.Bytes())
	_, answer, pull := ahead.HandlePush(0, *push)
	assert.Nil(t, pull)
	learned = behind.HandlePushReply(*push, answer)
	assert.Len(t, learned, 1)
	assert.Equal(t, ahead.Hash(), behind.Hash())
}

// exchangeOnce carries out one exchange between two stores, without loss.
func exchangeOnce(one, other *Store) {
	_, push := one.HandleReply(0, other.HandleRequest(one.BeginExchange()))
	pushTo(one, other, push)
}

// pushTo delivers a push and the pushes that follow from it.
func pushTo(from, to *Store, push *Push) {
	for push != nil {
		_, reply, pull := to.HandlePush(0, *push)
		from.HandlePushReply(*push, reply)
		from, to, push = to, from, pull
	}
}

func TestOneExchangeMakesAnyTwoStatesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := NewStore(), NewStore()
		for _, s := range []*Store{one, other} {
			for range rapid.IntRange(0, 50).Draw(t, "values") {
				key := rapid.SampledFrom([]Key{"a", "b", "c", "d"}).Draw(t, "key")
				size := rapid.SampledFrom([]int{0, 10, MaxRumorBytes + 1, MaxReplyBytes + 1}).Draw(t, "size")
				set(t, s, value(key, rapid.Uint64Range(1, 60).Draw(t, "major"), size))
			}
		}
		exchangeOnce(one, other)
		require.Equal(t, one.Hash(), other.Hash())
		for _, digest := range [][]KeyVersion{one.Digest(), other.Digest()} {
			require.Len(t, digest, len(one.Values()))
		}
		require.Empty(t, one.pulls)
		require.Empty(t, other.pulls)
	})
}

func TestLongValueIsPulledFromOnePeer(t *testing.T) {
	const size = 100 << 10
	s := NewStore()
	long := value("a", 1, size)
	rumor := Rumor([]Value{long})
	assert.Equal(t, Push{Announced: []KeyVersion{long.KeyVersion()}}, rumor)
	pullAt := func(now time.Duration, rumor Push) *Push {
		_, _, pull := s.HandlePush(now, rumor)
		return pull
	}
	timeout := pullTimeout + TransferTime(size)
	assert.Equal(t, &Push{Wanted: rumor.Announced}, pullAt(0, rumor))
	assert.Nil(t, pullAt(timeout-1, rumor), "a pull of this version is pending")
	newer := Rumor([]Value{value("a", 2, size)})
	assert.Equal(t, &Push{Wanted: newer.Announced}, pullAt(timeout-1, newer), "no pull of the newer version is pending")
	assert.Equal(t, &Push{Wanted: rumor.Announced}, pullAt(2*timeout, rumor), "the pull timed out")
	learned, _, _ := s.HandlePush(2*timeout, Push{Values: []Value{long}})
	assert.Equal(t, []Value{long}, learned)
	assert.Empty(t, s.pulls)
}

func TestAbandonedPullIsRetried(t *testing.T) {
	behind, ahead := NewStore(), NewStore()
	set(t, ahead, value("a", 1, MaxReplyBytes+1))
	_, push := behind.HandleReply(0, ahead.HandleRequest(behind.BeginExchange()))
	require.NotNil(t, push)
	_, again := behind.HandleReply(0, ahead.HandleRequest(behind.BeginExchange()))
	require.Nil(t, again)
	behind.AbandonPush(*push)
	_, again = behind.HandleReply(0, ahead.HandleRequest(behind.BeginExchange()))
	assert.Equal(t, push, again)
}

func TestTransferTimeIsProportionalToBytes(t *testing.T) {
	assert.Equal(t, time.Duration(0), TransferTime(0))
	assert.Equal(t, 4*time.Second, TransferTime(MaxValueBytes))
}

func TestRumorOmitsSupersededValues(t *testing.T) {
	rumor := Rumor([]Value{value("a", 1, 1), value("b", 1, 1), value("a", 2, 1)})
	assert.Equal(t, Push{Values: []Value{value("b", 1, 1), value("a", 2, 1)}}, rumor)
}

func TestPushTargetsExcludeTheSource(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	drawn := map[string]int{}
	for range 3000 {
		targets := PushTargets([]string{"a", "b", "c", "d", "e"}, "c", random)
		require.Len(t, targets, Fanout)
		for _, each := range targets {
			drawn[each]++
		}
	}
	assert.NotContains(t, drawn, "c")
	for address, times := range drawn {
		assert.InDelta(t, 3000*Fanout/4, times, 200, address)
	}
	assert.Equal(t, []string{"b"}, PushTargets([]string{"a", "b"}, "a", random))
}
