package membership

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/gossip"
)

const warmUp = 15 * time.Second

var clusterSizes = []int{12, 60, 300}

func config(major uint64, size int) gossip.Value {
	return gossip.Value{Key: "config", Version: gossip.Version{Major: major}, Data: make([]byte, size)}
}

func TestValueReachesAllNodes(t *testing.T) {
	const within = 2 * time.Second
	for _, n := range clusterSizes {
		for _, size := range []int{500, 8 << 10, 100 << 10} {
			t.Run(fmt.Sprint(n, "/", size), func(t *testing.T) {
				c := newCluster(t, n, uint64(n))
				c.loss = 0.2
				c.advance(warmUp)
				for version := range uint64(4) {
					c.set(c.members[c.random.IntN(len(c.core))], config(version+1, size))
					c.advance(within)
					require.Equal(t, n, c.countWith("config", gossip.Version{Major: version + 1}))
				}
			})
		}
	}
}

func TestPartitionedClusterHeals(t *testing.T) {
	c := newCluster(t, 60, 4)
	c.advance(warmUp)
	side := map[string]int{}
	for i, m := range c.members {
		side[m.address] = i % 2
	}
	c.cut = func(from, to string) bool { return side[from] != side[to] }
	c.set(c.members[0], config(1, 100))
	c.set(c.members[1], gossip.Value{Key: "other", Version: gossip.Version{Major: 1}})
	c.advance(time.Minute)
	assert.Equal(t, 30, c.countWith("config", gossip.Version{Major: 1}))
	assert.Equal(t, 30, c.countWith("other", gossip.Version{Major: 1}))
	c.cut = func(string, string) bool { return false }
	c.advance(5 * time.Second)
	assert.Equal(t, 60, c.countWith("config", gossip.Version{Major: 1}))
	assert.Equal(t, 60, c.countWith("other", gossip.Version{Major: 1}))
}

// A node can reach only the preferred peers (core), and one of them is down. It must receive a new value that the others set within
// DefaultPreferredInterval.
func TestPreferredPeersDeliverValueWithinPreferredInterval(t *testing.T) {
	c := newCluster(t, 60, 5)
	isolated := c.members[30]
	down := c.core[4]
	inCore := map[string]bool{}
	for _, address := range c.core {
		inCore[address] = true
	}
	c.cut = func(from, to string) bool {
		if from == down || to == down {
			return true
		}
		return from != to && (from == isolated.address || to == isolated.address) && !(from == isolated.address && inCore[to])
	}
	c.advance(warmUp)
	for version := range uint64(50) {
		for _, m := range c.members[:4] {
			c.set(m, config(version+1, 300))
		}
		set := c.now
		c.advance(time.Second + time.Duration(c.random.Int64N(int64(time.Second))))
		require.Equal(t, gossip.Version{Major: version + 1}, isolated.newest["config"])
		require.LessOrEqual(t, isolated.lastLearned-set, DefaultPreferredInterval)
	}
}

func TestPreferredPeerIsCalledEveryPreferredInterval(t *testing.T) {
	c := newCluster(t, 12, 6)
	c.core = c.core[:2]
	c.advance(time.Minute)
	last := map[string]time.Duration{}
	for _, each := range c.calls {
		if each.method != exchangeMethod || each.to != c.core[0] && each.to != c.core[1] {
			continue
		}
		require.LessOrEqual(t, each.at-last[each.from], DefaultPreferredInterval, each.from)
		last[each.from] = each.at
	}
	assert.Len(t, last, 12)
}

func TestIdleNodeSendsLessThanOneKilobytePerSecond(t *testing.T) {
	const length = time.Minute
	for _, n := range []int{12, 60} {
		c := newCluster(t, n, 7)
		c.set(c.members[0], config(1, 1000))
		c.set(c.members[1], gossip.Value{Key: "other", Version: gossip.Version{Major: 1}})
		c.sentBytes = &byteCounter{encoders: map[[2]string]*gob.Encoder{}}
		c.advance(3 * time.Minute)
		c.sentBytes.bytes = 0
		c.advance(length)
		rate := float64(c.sentBytes.bytes) / length.Seconds() / float64(n)
		t.Logf("%d nodes: %.0f bytes a second sent by each", n, rate)
		assert.Less(t, rate, 1000.0)
	}
}

func TestLostPeerLeavesAllViews(t *testing.T) {
	c := newCluster(t, 60, 8)
	c.advance(warmUp)
	gone := c.members[40]
	delete(c.nodes, gone.address)
	c.members = append(c.members[:40], c.members[41:]...)
	c.advance(time.Minute)
	for _, m := range c.members {
		for _, peer := range m.node.Peers() {
			require.NotEqual(t, gone.address, peer.Address)
		}
	}
}

func TestNewSeedConnectsIsolatedNode(t *testing.T) {
	c := newCluster(t, 12, 9)
	c.set(c.members[0], config(1, 10))
	core := c.core
	c.seeds, c.core = []string{"10.9.9.9:1"}, nil
	c.add("10.1.0.100:7660", 100)
	isolated := c.members[12]
	c.advance(5 * time.Second)
	require.Empty(t, isolated.node.Peers())
	isolated.node.SetSeeds(core)
	c.advance(5 * time.Second)
	assert.NotEmpty(t, isolated.node.Peers())
	assert.Equal(t, 13, c.countWith("config", gossip.Version{Major: 1}))
}

func TestLongValueExtendsCallTimeout(t *testing.T) {
	c := newCluster(t, 12, 10)
	c.advance(warmUp)
	c.calls = nil
	c.set(c.members[0], config(1, gossip.MaxValueBytes))
	c.advance(2 * time.Second)
	require.Equal(t, 12, c.countWith("config", gossip.Version{Major: 1}))
	long := 0
	for _, each := range c.calls {
		if each.timeout > DefaultCallTimeout {
			assert.Equal(t, DefaultCallTimeout+gossip.TransferTime(gossip.MaxValueBytes), each.timeout)
			long++
		}
	}
	assert.Equal(t, 11, long, "each other node must pull the value once")
}

func TestTooLongValueIsRejected(t *testing.T) {
	c := newCluster(t, 2, 11)
	require.ErrorIs(t, c.members[0].node.Set(config(1, gossip.MaxValueBytes+1)), gossip.ErrTooLong)
}

func TestConcurrentExchangesAreBounded(t *testing.T) {
	c := newCluster(t, 12, 12)
	node := c.members[0].node
	started := 0
	node.spawn = func(func()) { started++ }
	for range 3 * maxExchanges {
		node.Round()
	}
	assert.GreaterOrEqual(t, started, maxExchanges)
	assert.LessOrEqual(t, started, maxExchanges+1)
}
