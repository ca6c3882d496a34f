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

// pendingSend is an upstream request that the fake upstream side holds until the test ends it.
type pendingSend struct {
	upstream.Watcher
	*upstream.Request
	ctx context.Context
	end chan upstream.Outcome
}

// fakeUpstream stands for the upstream side and the cluster.
type fakeUpstream struct {
	sends   chan *pendingSend
	watches chan uint64
	breaks  chan error
}

func (s *fakeUpstream) Do(ctx context.Context, q *upstream.Request, w upstream.Watcher) {
	x := &pendingSend{w, q, ctx, make(chan upstream.Outcome)}
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

func (s *fakeUpstream) Probe(context.Context, string) upstream.Outcome { return upstream.Outcome{} }

func (s *fakeUpstream) Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error {
	s.watches <- after
	select {
	case err := <-s.breaks:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

var host = dispatch.Host{Name: "s-0000000a", Addr: "127.0.0.1:1", Scale: 1}

// startTestLoop starts a loop with one known host. The loop must end with the test and leave no goroutine behind.
func startTestLoop(t *testing.T) (*Loop, *fakeUpstream) {
	s := &fakeUpstream{make(chan *pendingSend, 9), make(chan uint64, 9), make(chan error)}
	set := nettest.Settings(t)
	core, err := dispatch.New(set.Policy, 1)
	require.NoError(t, err)
	l := New(dispatch.NewChain(core, dispatch.Gates{}), set, s, s, NewClock())
	l.Post(dispatch.HostList{Version: 5, Whole: true, Stale: true, Hosts: []dispatch.Host{host}})
	startLoop(t, l)
	return l, s
}

// startLoop runs a loop until end is called or the test ends. The loop must leave no goroutine behind.
func startLoop(t testing.TB, l *Loop) (end func()) {
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

// The first result reaches the client at once; later ones are dropped.
func TestOneAnswerPerJob(t *testing.T) {
	l, s := startTestLoop(t)
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

// A job that may have run fails; one that can be retried is refused at once, with the core's Retry-After.
func TestLocalReplies(t *testing.T) {
	l, s := startTestLoop(t)
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
	k := submit(t, l, 1, time.Millisecond) // too little time to be sent: it never ran
	assert.True(t, nettest.Wait(t, k.Answer()).Refused)
}

// An upstream request continues after its client has disconnected: the core needs its outcome.
func TestClientLeaves(t *testing.T) {
	l, s := startTestLoop(t)
	k := submit(t, l, 0, 15*time.Second)
	x := nettest.Wait(t, s.sends)
	l.Release(k, true)
	next := submit(t, l, 0, 15*time.Second)
	require.NoError(t, x.ctx.Err())
	x.end <- upstream.Outcome{Result: policy.OK}
	nettest.Wait(t, s.sends).end <- upstream.Outcome{Result: policy.OK}
	assert.True(t, nettest.Wait(t, next.Answer()).Served)
}

// No more requests are held than the settings allow, and released ones make room.
func TestMaxOpenRequests(t *testing.T) {
	l, _ := startTestLoop(t)
	l.set.MostHeld = 1
	k := submit(t, l, 0, 15*time.Second)
	require.ErrorIs(t, l.Submit(&Ticket{}), ErrFull)
	l.Release(k, true)
	submit(t, l, 0, 15*time.Second)
}

// An id is reserved until its request's budget is used up, answered or not, and free again after that.
func TestIDs(t *testing.T) {
	s, now := idTable{expiry: map[string]time.Time{}}, time.Now()
	require.NoError(t, s.claim("a", now, time.Second))
	require.ErrorIs(t, s.claim("a", now.Add(time.Second), time.Second), ErrDuplicateID)
	require.NoError(t, s.claim("a", now.Add(time.Second+1), time.Hour))
	for n := range maxIDs - 1 {
		require.NoError(t, s.claim(fmt.Sprint(n), now.Add(2*time.Second), time.Second))
	}
	require.ErrorIs(t, s.claim("b", now.Add(2*time.Second), time.Second), ErrFull)
	require.NoError(t, s.claim("b", now.Add(4*time.Second), time.Second))
}

// Each broken watch causes one ListLost, and the core asks again after the version that it has.
func TestWatchesAgain(t *testing.T) {
	l, s := startTestLoop(t)
	assert.Equal(t, uint64(5), nettest.Wait(t, s.watches))
	l.Post(dispatch.HostList{Version: 6})
	s.breaks <- errors.New("broken")
	assert.Equal(t, uint64(6), nettest.Wait(t, s.watches))
}

// SetSource starts a watch on the new source at once, after the newest version, and the end of the old watch causes no
// ListLost. This also holds while the core waits before it asks again.
func TestMove(t *testing.T) {
	l, s := startTestLoop(t)
	assert.Equal(t, uint64(5), nettest.Wait(t, s.watches))
	l.Post(dispatch.HostList{Version: 7})
	next := &fakeUpstream{watches: make(chan uint64, 9), breaks: make(chan error)}
	l.SetSource(next)
	assert.Equal(t, uint64(7), nettest.Wait(t, next.watches))
	third := &fakeUpstream{watches: make(chan uint64, 9), breaks: make(chan error)}
	next.breaks <- errors.New("broken")
	l.SetSource(third)
	nettest.Wait(t, third.watches)
	assert.Empty(t, s.watches)

	k := submit(t, l, 0, time.Millisecond) // its answer shows that the loop has processed everything before
	nettest.Wait(t, k.Answer())
	assert.Empty(t, third.watches)
}

// Messages of a watch that arrive after a newer one has started would set the list back.
func TestOldWatchIsIgnored(t *testing.T) {
	l := &Loop{watchNumber: 2, cancelWatch: func() {}}
	for watch, want := range []int{1, 0, 1, 0} {
		assert.Len(t, l.receive(nil, envelope{msg: dispatch.HostList{}, watch: uint64(watch)}), want)
	}
	assert.Len(t, l.receive(nil, envelope{msg: dispatch.ListLost{}, watch: 2}), 1)
	assert.Empty(t, l.receive(nil, envelope{msg: dispatch.ListLost{}, watch: 2}), "one loss a watch")
}

// A panic in the core fails the open jobs only: the loop continues with a new core that knows the hosts.
func TestPanicInDecisions(t *testing.T) {
	l, s := startTestLoop(t)
	k := submit(t, l, 1, 15*time.Second)
	x := nettest.Wait(t, s.sends)
	wrong := submit(t, l, 99, 15*time.Second) // an unknown class makes the core panic
	assert.Equal(t, Answer{}, nettest.Wait(t, k.Answer()))
	assert.Equal(t, Answer{}, nettest.Wait(t, wrong.Answer()))
	nettest.Wait(t, x.ctx.Done())
	next := submit(t, l, 0, 15*time.Second)
	nettest.Wait(t, s.sends).end <- upstream.Outcome{Result: policy.OK}
	assert.True(t, nettest.Wait(t, next.Answer()).Served)
}

// A panic in socket code counts as a lost connection, and the client gets its answer.
func TestPanicInSocketCode(t *testing.T) {
	l, s := startTestLoop(t)
	k := submit(t, l, 1, 15*time.Second)
	nettest.Wait(t, s.sends).end <- upstream.Outcome{Result: policy.NeverSent} // the fake panics on NeverSent
	assert.Equal(t, Answer{}, nettest.Wait(t, k.Answer()))
}

// The start times of hosts (Unix time) and the deadlines share one mapping.
func TestClock(t *testing.T) {
	c := NewClock()
	now := time.Now()
	assert.InDelta(t, float64(now.UnixNano()), float64(c.Since(now)), float64(time.Second))
	assert.Equal(t, c.Since(now)+time.Minute, c.Since(c.Time(c.Since(now)+time.Minute)))
}
