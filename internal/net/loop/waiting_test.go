package loop

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/nettest"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/waiting"
)

// startWithWaiting starts a loop with a waiting queue and its fake upstream side.
func startWithWaiting(t testing.TB, lim waiting.Limits) (*Loop, *fakeUpstream) {
	s := &fakeUpstream{make(chan *pendingSend, 9), make(chan uint64, 9), make(chan error)}
	set := nettest.Settings(t)
	set.MostHeld = 0
	core, err := dispatch.New(set.Policy, 1)
	require.NoError(t, err)
	l := New(dispatch.NewChain(core, dispatch.Gates{Waiting: dispatch.NewWaitingGate(lim, set.Policy)}), set, s, s, NewClock())
	l.Post(dispatch.HostList{Version: 5, Whole: true, Stale: true, Hosts: []dispatch.Host{host}})
	startLoop(t, l)
	return l, s
}

func newDetachedTicket(id string, wait dispatch.Wait) *Ticket {
	wait.Detached = true
	return &Ticket{Arrived: time.Now(), Forward: upstream.Request{Method: "POST", URI: "/plot-load/" + id,
		Host: "game.example.org", TraceID: id}, Job: dispatch.JobArrived{Tenant: -1, Budget: 15 * time.Second, Client: "c",
		Size: time.Second, Slots: 1, Wait: &wait}}
}

// The ids of waiting jobs, however many, do not fill the table of open ones; the id of an open job is still refused.
func TestWaitingIDs(t *testing.T) {
	lim := waiting.Defaults()
	lim.MaxJobs, lim.ClientShare = 100_000, 1
	l, _ := startWithWaiting(t, lim)
	open := submit(t, l, 0, 15*time.Second)
	require.ErrorIs(t, l.Submit(newDetachedTicket(open.Forward.TraceID, dispatch.Wait{})), ErrDuplicateID)
	for i := range maxIDs + 100 {
		k := newDetachedTicket(fmt.Sprint("w", i), dispatch.Wait{NotBefore: time.Hour})
		require.NoError(t, l.Submit(k))
		require.True(t, nettest.Wait(t, k.Answer()).Accepted)
		l.Release(k, false)
	}
}

// BenchmarkBytesPerWaitingJob measures the bytes that a waiting job takes in the whole program without its body, over
// SIZE jobs (default 20,000): the queue's entry, the ticket, and the ids with their tables.
func BenchmarkBytesPerWaitingJob(b *testing.B) {
	n, err := strconv.Atoi(os.Getenv("SIZE"))
	if err != nil {
		n = 20_000
	}
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for range b.N {
		lim := waiting.Defaults()
		lim.MaxJobs, lim.ClientShare = 10_000_000, 1
		l, _ := startWithWaiting(b, lim)
		before := heap()
		for i := range n {
			k := newDetachedTicket(fmt.Sprintf("%016x", i), dispatch.Wait{NotBefore: time.Hour})
			if err := l.Submit(k); err != nil {
				b.Fatal(err)
			}
			<-k.Answer()
			l.Release(k, false)
		}
		b.ReportMetric((heap()-before)/float64(n), "B/job")
		runtime.KeepAlive(l)
	}
}
