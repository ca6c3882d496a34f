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

func TestAValueReachesAllNodes(t *testing.T) {
	const within = 2 * time.Second
	for _, n := range clusterSizes {
		for _, size := range []int{500, 8 << 10, 100 << 10} {
			t.Run(fmt.Sprint(n, "/", size), func(t *testing.T) {
				c := newCluster(t, n, uint64(n))
				c.loss = 0.2
				c.play(warmUp)
				for version := range uint64(4) {
					c.set(c.members[c.random.IntN(len(c.core))], config(version+1, size))
					c.play(within)
					require.Equal(t, n, c.having("config", gossip.Version{Major: version + 1}))
				}
			})
		}
	}
}

func TestACutClusterHeals(t *testing.T) {
	c := newCluster(t, 60, 4)
	c.play(warmUp)
	side := map[string]int{}
	for i, m := range c.members {
		side[m.address] = i % 2
	}
	c.cut = func(from, to string) bool { return side[from] != side[to] }
	c.set(c.members[0], config(1, 100))
	c.set(c.members[1], gossip.Value{Key: "other", Version: gossip.Version{Major: 1}})
	c.play(time.Minute)
	assert.Equal(t, 30, c.having("config", gossip.Version{Major: 1}))
	assert.Equal(t, 30, c.having("other", gossip.Version{Major: 1}))
	c.cut = func(string, string) bool { return false }
	c.play(5 * time.Second)
	assert.Equal(t, 60, c.having("config", gossip.Version{Major: 1}))
	assert.Equal(t, 60, c.having("other", gossip.Version{Major: 1}))
}

// A node that reaches the core only, of which one machine is down, has a new value within half a second.
func TestTheCoreAloneBringsAValueInHalfASecond(t *testing.T) {
	c := newCluster(t, 60, 5)
	lonely := c.members[30]
	down := c.core[4]
	inCore := map[string]bool{}
	for _, address := range c.core {
		inCore[address] = true
	}
	c.cut = func(from, to string) bool {
		if from == down || to == down {
			return true
		}
		return from != to && (from == lonely.address || to == lonely.address) && !(from == lonely.address && inCore[to])
	}
	c.play(warmUp)
	for version := range uint64(50) {
		for _, m := range c.members[:4] {
			c.set(m, config(version+1, 300))
		}
		set := c.now
		c.play(time.Second + time.Duration(c.random.Int64N(int64(time.Second))))
		require.Equal(t, gossip.Version{Major: version + 1}, lonely.newest["config"])
		require.LessOrEqual(t, lonely.learned-set, DefaultPreferredInterval)
	}
}

func TestAPreferredPeerIsAskedTwiceASecond(t *testing.T) {
	c := newCluster(t, 12, 6)
	c.core = c.core[:2]
	c.play(time.Minute)
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

func TestAnIdleNodeSendsLessThanOneKilobyteASecond(t *testing.T) {
	const length = time.Minute
	for _, n := range []int{12, 60} {
		c := newCluster(t, n, 7)
		c.set(c.members[0], config(1, 1000))
		c.set(c.members[1], gossip.Value{Key: "other", Version: gossip.Version{Major: 1}})
		c.wire = &wire{encoders: map[[2]string]*gob.Encoder{}}
		c.play(3 * time.Minute)
		c.wire.bytes = 0
		c.play(length)
		rate := float64(c.wire.bytes) / length.Seconds() / float64(n)
		t.Logf("%d nodes: %.0f bytes a second sent by each", n, rate)
		assert.Less(t, rate, 1000.0)
	}
}

func TestALostPeerLeavesAllViews(t *testing.T) {
	c := newCluster(t, 60, 8)
	c.play(warmUp)
	gone := c.members[40]
	delete(c.nodes, gone.address)
	c.members = append(c.members[:40], c.members[41:]...)
	c.play(time.Minute)
	for _, m := range c.members {
		for _, peer := range m.node.Peers() {
			require.NotEqual(t, gone.address, peer.Address)
		}
	}
}

func TestANewSeedBringsALonelyNodeIn(t *testing.T) {
	c := newCluster(t, 12, 9)
	c.set(c.members[0], config(1, 10))
	core := c.core
	c.seeds, c.core = []string{"10.9.9.9:1"}, nil
	c.add("10.1.0.100:7660", 100)
	lonely := c.members[12]
	c.play(5 * time.Second)
	require.Empty(t, lonely.node.Peers())
	lonely.node.SetSeeds(core)
	c.play(5 * time.Second)
	assert.NotEmpty(t, lonely.node.Peers())
	assert.Equal(t, 13, c.having("config", gossip.Version{Major: 1}))
}

func TestALongValueIsGivenTime(t *testing.T) {
	c := newCluster(t, 12, 10)
	c.play(warmUp)
	c.calls = nil
	c.set(c.members[0], config(1, gossip.MaxValueBytes))
	c.play(2 * time.Second)
	require.Equal(t, 12, c.having("config", gossip.Version{Major: 1}))
	long := 0
	for _, each := range c.calls {
		if each.timeout > DefaultCallTimeout {
			assert.Equal(t, DefaultCallTimeout+gossip.TransferTime(gossip.MaxValueBytes), each.timeout)
			long++
		}
	}
	assert.Equal(t, 11, long, "each of the others pulls it once")
}

func TestATooLongValueIsRefused(t *testing.T) {
	c := newCluster(t, 2, 11)
	require.ErrorIs(t, c.members[0].node.Set(config(1, gossip.MaxValueBytes+1)), gossip.ErrTooLong)
}

func TestNoMoreThanSomeExchangesAreOut(t *testing.T) {
	c := newCluster(t, 12, 12)
	node := c.members[0].node
	started := 0
	node.spawn = func(func()) { started++ }
	for range 3 * exchangesLimit {
		node.Round()
	}
	assert.GreaterOrEqual(t, started, exchangesLimit)
	assert.LessOrEqual(t, started, exchangesLimit+1)
}
