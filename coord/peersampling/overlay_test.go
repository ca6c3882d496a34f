package peersampling

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// overlay is a set of processes that shuffle in rounds.
type overlay struct {
	t           *testing.T
	random      *rand.Rand
	nodes       map[string]*Sampler
	order       []string
	next        int
	incarnation uint64
	loss        float64
	// side is the partition of each process; all are in the same one while the network is whole.
	side map[string]int
}

var overlaySeeds = []string{"node-0", "node-1", "node-2"}

func newOverlay(t *testing.T, n int, seed uint64) *overlay {
	o := &overlay{t: t, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*Sampler{}, side: map[string]int{}}
	for range n {
		o.join(fmt.Sprintf("node-%d", o.next), overlaySeeds)
		o.next++
	}
	return o
}

func (o *overlay) join(address string, seeds []string) {
	o.incarnation++
	self := Peer{Address: address, Role: "control", Zone: "zone", Incarnation: o.incarnation}
	o.nodes[address] = New(self, seeds, DefaultSize, o.random.Uint64())
	o.order = append(o.order, address)
}

func (o *overlay) kill(address string) {
	delete(o.nodes, address)
	for i, each := range o.order {
		if each == address {
			o.order = append(o.order[:i], o.order[i+1:]...)
			return
		}
	}
}

func (o *overlay) drawLoss() bool { return o.random.Float64() < o.loss }

// round lets every process shuffle once, in random order.
func (o *overlay) round() {
	for _, i := range o.random.Perm(len(o.order)) {
		o.shuffle(o.order[i])
	}
	o.check()
}

func (o *overlay) shuffle(from string) {
	sampler := o.nodes[from]
	to, request, ok := sampler.Shuffle()
	if !ok {
		return
	}
	require.NotEqual(o.t, from, to)
	partner, alive := o.nodes[to]
	if !alive || o.side[from] != o.side[to] || o.drawLoss() {
		sampler.MarkFailed(to)
		return
	}
	reply := partner.HandleRequest(request)
	if o.drawLoss() {
		sampler.MarkFailed(to)
		return
	}
	sampler.HandleReply(to, reply)
}

// check checks the invariants of every view.
func (o *overlay) check() {
	seen := map[string]bool{}
	for address, sampler := range o.nodes {
		clear(seen)
		seen[address] = true
		for _, peer := range sampler.view.peers {
			if seen[peer.Address] {
				o.t.Fatalf("the view of %s contains itself or one address twice: %v", address, sampler.Peers())
			}
			seen[peer.Address] = true
		}
		if len(sampler.view.peers) > DefaultSize || len(sampler.pending) > 0 {
			o.t.Fatalf("the view of %s has %d peers, and %d requests are pending", address, len(sampler.view.peers), len(sampler.pending))
		}
	}
}

// countReachable counts the live processes that are reachable from the first one over the views, with edges in both directions.
func (o *overlay) countReachable() int {
	edges := map[string][]string{}
	for address, sampler := range o.nodes {
		for _, peer := range sampler.Peers() {
			if o.nodes[peer.Address] == nil {
				continue
			}
			edges[address] = append(edges[address], peer.Address)
			edges[peer.Address] = append(edges[peer.Address], address)
		}
	}
	seen := map[string]bool{o.order[0]: true}
	queue := []string{o.order[0]}
	for len(queue) > 0 {
		for _, next := range edges[queue[0]] {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
		queue = queue[1:]
	}
	return len(seen)
}

func (o *overlay) inDegrees() map[string]int {
	degrees := map[string]int{}
	for _, sampler := range o.nodes {
		for _, peer := range sampler.Peers() {
			degrees[peer.Address]++
		}
	}
	return degrees
}

var overlaySizes = []int{12, 60, 300}

func TestOverlayIsConnectedAndBalanced(t *testing.T) {
	for _, n := range overlaySizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			o := newOverlay(t, n, uint64(n))
			for range 60 {
				o.round()
			}
			require.Equal(t, n, o.countReachable())
			degrees := o.inDegrees()
			for _, address := range o.order {
				wanted := min(n-1, DefaultSize)
				assert.GreaterOrEqual(t, degrees[address], wanted/4, address)
				assert.LessOrEqual(t, degrees[address], 3*wanted, address)
			}
		})
	}
}

func TestSmallOverlayKnowsMostPeers(t *testing.T) {
	o := newOverlay(t, 12, 7)
	for range 30 {
		o.round()
	}
	for address, sampler := range o.nodes {
		assert.GreaterOrEqual(t, len(sampler.Peers()), 9, address)
	}
}

func TestOverlayStaysConnectedUnderChurn(t *testing.T) {
	for _, n := range overlaySizes {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d/%d", n, seed), func(t *testing.T) {
				o := newOverlay(t, n, seed)
				o.loss = 0.1
				for round := range 150 {
					o.round()
					if round > 20 && round%3 == 0 {
						o.churn()
					}
				}
				o.loss = 0
				for range 10 {
					o.round()
				}
				require.Equal(t, n, o.countReachable())
			})
		}
	}
}

// churn ends some processes, possibly seeds. For each it starts a process at the same address, with another incarnation, or at a new
// address.
func (o *overlay) churn() {
	for range 1 + len(o.order)/50 {
		gone := o.order[o.random.IntN(len(o.order))]
		o.kill(gone)
		back := gone
		if o.random.IntN(2) == 0 && gone != overlaySeeds[0] {
			back = fmt.Sprintf("node-%d", o.next)
			o.next++
		}
		o.join(back, overlaySeeds)
	}
}

func TestDeadPeersLeaveAllViews(t *testing.T) {
	for _, n := range overlaySizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			o := newOverlay(t, n, 3)
			for range 40 {
				o.round()
			}
			for _, i := range o.random.Perm(n)[:n/4] {
				o.kill(fmt.Sprintf("node-%d", i))
			}
			for range maxAgeFactor*DefaultSize + 1 {
				o.round()
			}
			for address, sampler := range o.nodes {
				for _, peer := range sampler.Peers() {
					assert.Contains(t, o.nodes, peer.Address, "in the view of %s", address)
				}
			}
			assert.Equal(t, len(o.order), o.countReachable())
		})
	}
}

func TestPartitionedOverlayHeals(t *testing.T) {
	for _, n := range overlaySizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			o := newOverlay(t, n, 5)
			for range 40 {
				o.round()
			}
			for i, address := range o.order {
				o.side[address] = i % 2
			}
			for range 100 {
				o.round()
			}
			clear(o.side)
			for range 30 {
				o.round()
			}
			assert.Equal(t, n, o.countReachable())
			assert.Positive(t, o.countCrossEdges())
		})
	}
}

// countCrossEdges counts the edges between processes with even and odd indices.
func (o *overlay) countCrossEdges() int {
	count := 0
	for i, address := range o.order {
		for _, peer := range o.nodes[address].Peers() {
			for j, other := range o.order {
				if other == peer.Address && i%2 != j%2 {
					count++
				}
			}
		}
	}
	return count
}

func TestReplacedSeedsServeAfterFirstSeedsFail(t *testing.T) {
	o := newOverlay(t, 60, 9)
	for range 30 {
		o.round()
	}
	for _, address := range overlaySeeds {
		o.kill(address)
	}
	for _, sampler := range o.nodes {
		sampler.SetSeeds([]string{"node-10", "node-11", "node-12"})
	}
	o.join("newcomer", []string{"node-10"})
	for range 40 {
		o.round()
	}
	assert.Equal(t, len(o.order), o.countReachable())
	assert.Positive(t, o.inDegrees()["newcomer"])
}
