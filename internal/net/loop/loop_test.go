package loop

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/nettest"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/policy"
)

// sent is an upstream request that the fake upstream side holds until the test ends it.
type sent struct {
	upstream.Watcher
	*upstream.Request
	ctx context.Context
	end chan upstream.Outcome
}

// side stands for the upstream side and the cluster.
type side struct {
	sends   chan *sent
	watches chan uint64
	breaks  chan error
}

func (s *side) Do(ctx context.Context, q *upstream.Request, w upstream.Watcher) {
	x := &sent{w, q, ctx, make(chan upstream.Outcome)}
	s.sends <- x
	select {
	case o := <-x.end:
		if o.Result == policy.NeverSent {
			panic("broken socket code")
		}
		w.Ended(o)
	case <-ctx.Done():
		w.Ended(upstream.Outcome{Result: policy.TimedOut})
	}
}

func (s *side) Probe(context.Context, string) upstream.Outcome { return upstream.Outcome{} }

func (s *side) Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error {
	s.watches <- after
	select {
	case err := <-s.breaks:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

var host = dispatch.Host{Name: "s-0000000a", Addr: "127.0.0.1:1", Scale: 1}

// run starts a loop with one known host; it must end with the test and leave nothing behind.
func run(t *testing.T) (*Loop, *side) {
	s := &side{make(chan *sent, 9), make(chan uint64, 9), make(chan error)}
	set := nettest.Settings(t)
	core, err := dispatch.New(set.Policy, 1)
	require.NoError(t, err)
	l := New(dispatch.NewChain(core, dispatch.Gates{}), set, s, s, NewClock())
	l.Post(dispatch.HostList{Version: 5, Whole: true, Stale: true, Hosts: []dispatch.Host{host}})
	start(t, l)
	return l, s
}

// start runs a loop until end is called or the test ends; it must leave nothing behind.
func start(t testing.TB, l *Loop) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	end = sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, nettest.Wait(t, ended))
	})
	t.Cleanup(end)
	return end
}

func submit(t *testing.T, l *Loop, class int, budget time.Duration) *Ticket {
	k := &Ticket{Arrived: time.Now(), Forward: upstream.Request{TraceID: fmt.Sprint("t", l.nextJob.Load()+1)},
		Job: dispatch.JobArrived{Class: class, Tenant: -1, Budget: budget, Size: 100 * time.Millisecond, Slots: 1}}
	require.NoError(t, l.Submit(k))
	return k
}

// The first result reaches the client as it comes, and nothing that comes after it.
func TestServesOnce(t *testing.T) {
	l, s := run(t)
	k := submit(t, l, 0, 15*time.Second)
	x := nettest.Wait(t, s.sends)
	assert.Equal(t, host.Addr+" t1", x.Addr+" "+x.TraceID)
	at, ok := x.ctx.Deadline()
	assert.True(t, ok)
	assert.WithinDuration(t, k.Arrived.Add(15*time.Second), at, time.Millisecond, "the deadline counts from arrival")
	x.end <- upstream.Outcome{Result: policy.OK, Body: []byte("r")}
	assert.Equal(t, Answer{Served: true, Body: []byte("r")}, nettest.Wait(t, k.Answer()))
	assert.False(t, k.deliver(Answer{Refused: true}))
	l.Release(k, false)
	assert.Empty(t, k.Answer())
}

// What may have run has failed; what can be repeated is refused with the module's advice, at once.
func TestLocalReplies(t *testing.T) {
	l, s := run(t)
	for class, want := range []Answer{{Refused: true, RetryAfter: 1500 * time.Millisecond}, {}} {
		k := submit(t, l, class, 15*time.Second)
		for range l.set.Policy.MaxAttempts {
			select {
			case x := <-s.sends:
				x.end <- upstream.Outcome{Result: policy.TimedOut}
			case a := <-k.Answer():
				k.answer <- a
			}
		}
		assert.Equal(t, want, nettest.Wait(t, k.Answer()))
	}
	k := submit(t, l, 1, time.Millisecond) // too little time to be worth anything: it never ran
	assert.True(t, nettest.Wait(t, k.Answer()).Refused)
}

// An upstream request goes on when its client has left: the module counts on its outcome.
func TestClientLeaves(t *testing.T) {
	l, s := run(t)
	k := submit(t, l, 0, 15*time.Second)
	x := nettest.Wait(t, s.sends)
	l.Release(k, true)
	next := submit(t, l, 0, 15*time.Second)
	require.NoError(t, x.ctx.Err())
	x.end <- upstream.Outcome{Result: policy.OK}
	nettest.Wait(t, s.sends).end <- upstream.Outcome{Result: policy.OK}
	assert.True(t, nettest.Wait(t, next.Answer()).Served)
}

// As many requests as the settings allow are held, and room comes back.
func TestMostHeld(t *testing.T) {
	l, _ := run(t)
	l.set.MostHeld = 1
	k := submit(t, l, 0, 15*time.Second)
	require.ErrorIs(t, l.Submit(&Ticket{}), ErrFull)
	l.Release(k, true)
	submit(t, l, 0, 15*time.Second)
}

// An id is taken until its request's time is up, answered or not, and free again after that.
func TestIDs(t *testing.T) {
	s, now := idTable{expiry: map[string]time.Time{}}, time.Now()
	require.NoError(t, s.claim("a", now, time.Second))
	require.ErrorIs(t, s.claim("a", now.Add(time.Second), time.Second), ErrOpen)
	require.NoError(t, s.claim("a", now.Add(time.Second+1), time.Hour))
	for n := range maxIDs - 1 {
		require.NoError(t, s.claim(fmt.Sprint(n), now.Add(2*time.Second), time.Second))
	}
	require.ErrorIs(t, s.claim("b", now.Add(2*time.Second), time.Second), ErrFull)
	require.NoError(t, s.claim("b", now.Add(4*time.Second), time.Second))
}

// Each broken watch makes one loss, and the module asks again after the version it has.
func TestWatchesAgain(t *testing.T) {
	l, s := run(t)
	assert.Equal(t, uint64(5), nettest.Wait(t, s.watches))
	l.Post(dispatch.HostList{Version: 6})
	s.breaks <- errors.New("broken")
	assert.Equal(t, uint64(6), nettest.Wait(t, s.watches))
}

// A move begins a watch on the new source at once, after the newest version, and the end of the old watch is no
// loss. So it does while the module waits to ask again.
func TestMove(t *testing.T) {
	l, s := run(t)
	assert.Equal(t, uint64(5), nettest.Wait(t, s.watches))
	l.Post(dispatch.HostList{Version: 7})
	next := &side{watches: make(chan uint64, 9), breaks: make(chan error)}
	l.Move(next)
	assert.Equal(t, uint64(7), nettest.Wait(t, next.watches))
	third := &side{watches: make(chan uint64, 9), breaks: make(chan error)}
	next.breaks <- errors.New("broken")
	l.Move(third)
	nettest.Wait(t, third.watches)
	assert.Empty(t, s.watches)

	k := submit(t, l, 0, time.Millisecond) // the loop has taken in what came before its answer
	nettest.Wait(t, k.Answer())
	assert.Empty(t, third.watches)
}

// What a watch tells after a newer one has begun would set the list back.
func TestOldWatchIsNotHeard(t *testing.T) {
	l := &Loop{watchNumber: 2, cancelWatch: func() {}}
	for watch, want := range []int{1, 0, 1, 0} {
		assert.Len(t, l.receive(nil, envelope{msg: dispatch.HostList{}, watch: uint64(watch)}), want)
	}
	assert.Len(t, l.receive(nil, envelope{msg: dispatch.ListLost{}, watch: 2}), 1)
	assert.Empty(t, l.receive(nil, envelope{msg: dispatch.ListLost{}, watch: 2}), "one loss a watch")
}

// A panic in the decisions fails what is open and no more: the loop goes on with a new module that knows
// the hosts.
func TestPanicInDecisions(t *testing.T) {
	l, s := run(t)
	k := submit(t, l, 1, 15*time.Second)
	x := nettest.Wait(t, s.sends)
	wrong := submit(t, l, 99, 15*time.Second) // no such class: it panics
	assert.Equal(t, Answer{}, nettest.Wait(t, k.Answer()))
	assert.Equal(t, Answer{}, nettest.Wait(t, wrong.Answer()))
	nettest.Wait(t, x.ctx.Done())
	next := submit(t, l, 0, 15*time.Second)
	nettest.Wait(t, s.sends).end <- upstream.Outcome{Result: policy.OK}
	assert.True(t, nettest.Wait(t, next.Answer()).Served)
}

// A panic in socket code is a lost connection to the module, and the client gets its answer.
func TestPanicInSocketCode(t *testing.T) {
	l, s := run(t)
	k := submit(t, l, 1, 15*time.Second)
	nettest.Wait(t, s.sends).end <- upstream.Outcome{Result: policy.NeverSent} // it panics instead
	assert.Equal(t, Answer{}, nettest.Wait(t, k.Answer()))
}

// Starts that the cluster tells in Unix time and deadlines share one mapping.
func TestClock(t *testing.T) {
	c := NewClock()
	now := time.Now()
	assert.InDelta(t, float64(now.UnixNano()), float64(c.Since(now)), float64(time.Second))
	assert.Equal(t, c.Since(now)+time.Minute, c.Since(c.Time(c.Since(now)+time.Minute)))
}
