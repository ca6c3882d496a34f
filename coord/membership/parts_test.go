package membership

import (
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gaugeslip/coord/gossip"
	"gaugeslip/coord/peersampling"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRotationSkipsSuspectedPeers(t *testing.T) {
	r := newRotation(0)
	peers := []string{"a", "b", "c"}
	_, ok := r.next(0, nil)
	assert.False(t, ok)
	turn := func(now time.Duration) string {
		peer, ok := r.next(now, peers)
		require.True(t, ok)
		return peer
	}
	assert.Equal(t, []string{"b", "c", "a"}, []string{turn(0), turn(0), turn(0)})
	r.markFailed(0, "b")
	assert.Equal(t, []string{"c", "a", "c"}, []string{turn(1), turn(1), turn(1)})
	r.markFailed(1, "a")
	r.markFailed(2, "c")
	assert.Equal(t, "b", turn(3), "if all are suspected, the one suspected first")
	r.markAnswered("a")
	assert.Equal(t, []string{"a", "a"}, []string{turn(4), turn(4)})
	assert.ElementsMatch(t, peers, []string{turn(2 + suspicionTimeout), turn(2 + suspicionTimeout), turn(2 + suspicionTimeout)})
}

func TestDeliveriesKeepOrder(t *testing.T) {
	var d deliveries
	var got []uint64
	d.subscribe(func(value gossip.Value) {
		got = append(got, value.Version.Major)
		if value.Version.Major == 1 {
			d.queue([]gossip.Value{config(3, 0)})
			d.run()
		}
	}, []gossip.Value{config(1, 0)})
	d.queue([]gossip.Value{config(2, 0)})
	d.run()
	assert.Equal(t, []uint64{1, 2, 3}, got)
}

func TestConcurrentSetsNeverRegress(t *testing.T) {
	n := New(silentCaller{}, Options{})
	var newest uint64
	n.Subscribe(func(value gossip.Value) {
		assert.Greater(t, value.Version.Major, newest)
		newest = value.Version.Major
	})
	const goroutines, versions = 8, 200
	var all sync.WaitGroup
	for range goroutines {
		all.Go(func() {
			for version := range uint64(versions) {
				assert.NoError(t, n.Set(config(version+1, 0)))
			}
		})
	}
	all.Wait()
	n.Stop()
	value, ok := n.Get("config")
	assert.True(t, ok)
	assert.Equal(t, uint64(versions), value.Version.Major)
	n.Subscribe(func(value gossip.Value) { assert.Equal(t, newest, value.Version.Major) })
}

// silentCaller answers no call.
type silentCaller struct{}

func (silentCaller) Call(string, string, any, any, time.Duration) error { return errNoAnswer }

// recordingCaller sends the address of each call to a channel, and answers no call.
type recordingCaller struct{ calls chan string }

func (s recordingCaller) Call(address, _ string, _, _ any, _ time.Duration) error {
	select {
	case s.calls <- address:
	default:
	}
	return errNoAnswer
}

func TestStartBeginsCallsAndStopEndsThem(t *testing.T) {
	caller := recordingCaller{calls: make(chan string)}
	n := New(caller, Options{Seeds: []string{"seed"}, Interval: time.Millisecond})
	n.Start()
	for range 5 {
		assert.Equal(t, "seed", <-caller.calls)
	}
	n.Stop()
	n.Round()
	select {
	case <-caller.calls:
		assert.Fail(t, "a call after Stop")
	default:
	}
}

// rpcCaller calls one server with net/rpc.
type rpcCaller struct{ client *rpc.Client }

func (c rpcCaller) Call(_, method string, args, reply any, _ time.Duration) error {
	return c.client.Call(method, args, reply)
}

func TestServiceAnswersOverNetRPC(t *testing.T) {
	there := New(silentCaller{}, Options{Self: peersampling.Peer{Address: "there", Role: "server"}})
	require.NoError(t, there.Set(config(1, 10)))
	require.NoError(t, there.Set(gossip.Value{Key: "long", Version: gossip.Version{Minor: 1}, Data: make([]byte, gossip.MaxReplyBytes+1)}))
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName(ServiceName, there.Service()))
	near, far := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.ServeConn(far)
	}()
	client := rpc.NewClient(near)

	here := New(rpcCaller{client}, Options{Self: peersampling.Peer{Address: "here"}, Seeds: []string{"there"}})
	here.spawn = func(task func()) { task() }
	here.Round()
	require.Equal(t, []peersampling.Peer{{Address: "there", Role: "server"}}, here.Peers())
	require.Equal(t, []peersampling.Peer{{Address: "here"}}, there.Peers())
	for _, key := range []gossip.Key{"config", "long"} {
		wanted, _ := there.Get(key)
		got, ok := here.Get(key)
		require.True(t, ok)
		assert.Equal(t, wanted, got)
	}
	require.NoError(t, client.Close())
	<-served
	there.Stop()
	here.Stop()
}
