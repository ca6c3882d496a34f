package gossip

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const roundInterval = 250 * time.Millisecond

// epidemic is a set of stores that exchange state with random partners in rounds. Messages get lost in both directions.
type epidemic struct {
	t      *testing.T
	random *rand.Rand
	stores []*Store
	newest []map[Key]Version
	now    time.Duration
	loss   float64
	// partitioned separates the stores with even numbers from those with odd numbers.
	partitioned bool
	rumors      []rumor
	// sent counts the bytes of data of all values sent.
	sent int
}

// rumor is a push in transit.
type rumor struct {
	from, to int
	push     Push
}

func newEpidemic(t *testing.T, n int, seed uint64) *epidemic {
	e := &epidemic{t: t, random: rand.New(rand.NewPCG(seed, 2)), loss: 0.2}
	for range n {
		e.stores = append(e.stores, NewStore())
		e.newest = append(e.newest, map[Key]Version{})
	}
	return e
}

func (e *epidemic) set(at int, value Value) {
	learned, err := e.stores[at].Set(value)
	require.NoError(e.t, err)
	if learned {
		e.recordLearned(at, at, []Value{value})
	}
}

// drawDelivery draws whether a message between two stores arrives.
func (e *epidemic) drawDelivery(from, to int) bool {
	return !(e.partitioned && from%2 != to%2) && e.random.Float64() >= e.loss
}

// recordLearned checks that no version is older than a previous one, and sends the rumor.
func (e *epidemic) recordLearned(at, source int, values []Value) {
	if len(values) == 0 {
		return
	}
	for _, value := range values {
		if !value.Version.Newer(e.newest[at][value.Key]) {
			e.t.Fatalf("store %d returned to older version %v of %s", at, value.Version, value.Key)
		}
		e.newest[at][value.Key] = value.Version
	}
	var others []string
	for i := range e.stores {
		if i != at {
			others = append(others, strconv.Itoa(i))
		}
	}
	for _, target := range PushTargets(others, strconv.Itoa(source), e.random) {
		to, _ := strconv.Atoi(target)
		e.rumors = append(e.rumors, rumor{from: at, to: to, push: Rumor(values)})
	}
}

// round lets every store start one exchange, then delivers all rumors until there are none left.
func (e *epidemic) round() {
	e.now += roundInterval
	for _, from := range e.random.Perm(len(e.stores)) {
		e.exchange(from, (from+1+e.random.IntN(len(e.stores)-1))%len(e.stores))
	}
	for len(e.rumors) > 0 {
		next := e.rumors[0]
		e.rumors = e.rumors[1:]
		e.push(next.from, next.to, &next.push)
	}
}

func (e *epidemic) exchange(from, to int) {
	if !e.drawDelivery(from, to) {
		return
	}
	reply := e.stores[to].HandleRequest(e.stores[from].BeginExchange())
	e.countBytes(reply.Values)
	if !e.drawDelivery(to, from) {
		return
	}
	learned, push := e.stores[from].HandleReply(e.now, reply)
	e.recordLearned(from, to, learned)
	e.push(from, to, push)
}

func (e *epidemic) push(from, to int, push *Push) {
	if push == nil {
		return
	}
	e.countBytes(push.Values)
	if !e.drawDelivery(from, to) {
		e.stores[from].AbandonPush(*push)
		return
	}
	learned, reply, pull := e.stores[to].HandlePush(e.now, *push)
	e.recordLearned(to, from, learned)
	e.push(to, from, pull)
	e.countBytes(reply.Values)
	if !e.drawDelivery(to, from) {
		e.stores[from].AbandonPush(*push)
		return
	}
	e.recordLearned(from, to, e.stores[from].HandlePushReply(*push, reply))
}

func (e *epidemic) countBytes(values []Value) {
	for _, value := range values {
		e.sent += len(value.Data)
	}
}

// countWith counts the stores that have the version of the key or a newer one.
func (e *epidemic) countWith(key Key, version Version) int {
	count := 0
	for _, s := range e.stores {
		if got, ok := s.Get(key); ok && !version.Newer(got.Version) {
			count++
		}
	}
	return count
}

var epidemicSizes = []int{12, 60, 300}

// A store without the value stays without it for one more round if its own exchange fails (probability 0.36 at this loss) and if no
// exchange that others start with it succeeds (0.6). After eight rounds, or 2 s, this leaves one store in a hundred thousand.
func TestValueReachesAllStoresWithinEightRounds(t *testing.T) {
	const roundsForMost, roundsForAll = 3, 8
	for _, n := range epidemicSizes {
		for seed := range uint64(20) {
			e := newEpidemic(t, n, seed)
			e.set(0, value("config", 1, 500))
			for range roundsForMost {
				e.round()
			}
			require.GreaterOrEqual(t, e.countWith("config", Version{Major: 1}), n*9/10, "%d stores, seed %d", n, seed)
			for range roundsForAll - roundsForMost {
				e.round()
			}
			require.Equal(t, n, e.countWith("config", Version{Major: 1}), "%d stores, seed %d", n, seed)
		}
	}
}

func TestLongValueReachesAllStoresWithFewDuplicates(t *testing.T) {
	const size = 100 << 10
	const rounds = 12
	for _, n := range epidemicSizes {
		e := newEpidemic(t, n, uint64(n))
		e.set(0, value("config", 1, size))
		for range rounds {
			e.round()
		}
		require.Equal(t, n, e.countWith("config", Version{Major: 1}))
		// One copy for each store, a quarter more for lost messages, and some slack.
		assert.Less(t, e.sent, 2*n*size, "%d stores", n)
	}
}

func TestManyVersionsNeverRegress(t *testing.T) {
	for _, n := range epidemicSizes {
		e := newEpidemic(t, n, uint64(n))
		last := map[Key]uint64{}
		for round := range 60 {
			key := Key(fmt.Sprint("key-", round%3))
			last[key] = uint64(round + 1)
			e.set(e.random.IntN(n), value(key, last[key], e.random.IntN(2*MaxRumorBytes)))
			e.round()
		}
		for range 30 {
			e.round()
		}
		for key, major := range last {
			require.Equal(t, n, e.countWith(key, Version{Major: major}))
		}
		for _, s := range e.stores {
			require.Equal(t, e.stores[0].Hash(), s.Hash())
		}
	}
}

func TestPartitionHeals(t *testing.T) {
	for _, n := range epidemicSizes {
		e := newEpidemic(t, n, uint64(n))
		e.partitioned = true
		e.set(0, value("config", 1, 100))
		e.set(1, value("other", 1, 100))
		for range 20 {
			e.round()
		}
		require.Equal(t, n/2, e.countWith("config", Version{Major: 1}))
		require.Equal(t, n/2, e.countWith("other", Version{Major: 1}))
		e.partitioned = false
		for range 8 {
			e.round()
		}
		assert.Equal(t, n, e.countWith("config", Version{Major: 1}))
		assert.Equal(t, n, e.countWith("other", Version{Major: 1}))
	}
}
