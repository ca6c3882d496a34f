package membership

import (
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/gossip"
	"gaugeslip/coord/peersampling"
)

var errNoAnswer = errors.New("no answer")

// cluster is a set of nodes in virtual time. Calls take no time. The request and the reply of a call may each get lost.
type cluster struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	nodes     map[string]*Node
	members   []*member
	seeds     []string
	core      []string
	tasks     []func()
	loss      float64
	cut       func(from, to string) bool
	sentBytes *byteCounter
	calls     []call
}

type member struct {
	address     string
	node        *Node
	nextRound   time.Duration
	newest      map[gossip.Key]gossip.Version
	lastLearned time.Duration
}

type call struct {
	from, to, method string
	at, timeout      time.Duration
}

// newCluster starts n nodes. The first few are the preferred peers (core) of all nodes.
func newCluster(t *testing.T, n int, seed uint64) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 3)), nodes: map[string]*Node{}}
	c.cut = func(string, string) bool { return false }
	const coreSize, seedCount = 5, 3
	addresses := make([]string, 0, n)
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("10.1.%d.%d:7660", i/200, i%200))
	}
	c.core = addresses[:min(n, coreSize)]
	c.seeds = addresses[:min(n, seedCount)]
	for i, address := range addresses {
		c.add(address, uint64(i))
	}
	return c
}

func (c *cluster) add(address string, incarnation uint64) {
	node := New(clusterCaller{c, address}, Options{
		Self:       peersampling.Peer{Address: address, Role: "control", Zone: "zone", Incarnation: 1_700_000_000_000 + incarnation},
		Seeds:      c.seeds,
		RandomSeed: c.random.Uint64(),
		Preferred:  func() []string { return c.core },
		Clock:      func() time.Duration { return c.now },
	})
	node.spawn = func(task func()) { c.tasks = append(c.tasks, task) }
	start := c.now + time.Duration(c.random.Int64N(int64(DefaultInterval)))
	m := &member{address: address, node: node, nextRound: start, newest: map[gossip.Key]gossip.Version{}}
	node.Subscribe(func(value gossip.Value) { c.recordLearned(m, value) })
	c.nodes[address] = node
	c.members = append(c.members, m)
}

// recordLearned checks that a version is newer than the previous one.
func (c *cluster) recordLearned(m *member, value gossip.Value) {
	if !value.Version.Newer(m.newest[value.Key]) {
		c.t.Fatalf("%s returned to older version %v of %s", m.address, value.Version, value.Key)
	}
	m.newest[value.Key] = value.Version
	m.lastLearned = c.now
}

func (c *cluster) set(m *member, value gossip.Value) {
	require.NoError(c.t, m.node.Set(value))
	c.runTasks()
}

// advance runs the rounds that are due within a length of virtual time.
func (c *cluster) advance(length time.Duration) {
	end := c.now + length
	for {
		next := slices.MinFunc(c.members, func(a, b *member) int { return int(a.nextRound - b.nextRound) })
		if next.nextRound > end {
			c.now = end
			return
		}
		c.now = next.nextRound
		next.nextRound += next.node.Round()
		c.runTasks()
	}
}

func (c *cluster) runTasks() {
	for len(c.tasks) > 0 {
		task := c.tasks[0]
		c.tasks = c.tasks[1:]
		task()
	}
}

// countWith counts the nodes that have the version of the key or a newer one.
func (c *cluster) countWith(key gossip.Key, version gossip.Version) int {
	count := 0
	for _, m := range c.members {
		if value, ok := m.node.Get(key); ok && !version.Newer(value.Version) {
			count++
		}
	}
	return count
}

// clusterCaller makes the calls of one node.
type clusterCaller struct {
	cluster *cluster
	from    string
}

func (caller clusterCaller) Call(address, method string, args, reply any, timeout time.Duration) error {
	c := caller.cluster
	c.calls = append(c.calls, call{from: caller.from, to: address, method: method, at: c.now, timeout: timeout})
	node := c.nodes[address]
	if node == nil || c.cut(caller.from, address) || c.random.Float64() < c.loss {
		return errNoAnswer
	}
	answer, err := serve(node.Service(), method, args)
	if err != nil || c.random.Float64() < c.loss {
		return errNoAnswer
	}
	if c.sentBytes != nil {
		c.sentBytes.count(c.t, caller.from, address, method, args, answer)
	}
	switch reply := reply.(type) {
	case *ExchangeReply:
		*reply = answer.(ExchangeReply)
	case *PushReply:
		*reply = answer.(PushReply)
	}
	return nil
}

func serve(service *Service, method string, args any) (any, error) {
	switch args := args.(type) {
	case ExchangeArgs:
		var reply ExchangeReply
		err := service.Exchange(args, &reply)
		return reply, err
	case PushArgs:
		var reply PushReply
		err := service.Push(args, &reply)
		return reply, err
	}
	return nil, fmt.Errorf("no method %s", method)
}

// byteCounter counts the bytes that the gob codec of net/rpc would send over persistent connections.
type byteCounter struct {
	bytes    int
	encoders map[[2]string]*gob.Encoder
}

func (w *byteCounter) count(t *testing.T, from, to, method string, args, reply any) {
	there, back := w.encoder(from, to+"?"), w.encoder(to+"!", from)
	require.NoError(t, there.Encode(&rpc.Request{ServiceMethod: method, Seq: 1000}))
	require.NoError(t, there.Encode(args))
	require.NoError(t, back.Encode(&rpc.Response{ServiceMethod: method, Seq: 1000}))
	require.NoError(t, back.Encode(reply))
}

func (w *byteCounter) encoder(from, to string) *gob.Encoder {
	if w.encoders[[2]string{from, to}] == nil {
		w.encoders[[2]string{from, to}] = gob.NewEncoder(w)
	}
	return w.encoders[[2]string{from, to}]
}

func (w *byteCounter) Write(data []byte) (int, error) {
	w.bytes += len(data)
	return len(data), nil
}
