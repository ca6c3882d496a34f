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

// waits is a loop with a waiting room, and its fake sides.
func waits(t testing.TB, lim waiting.Limits) (*Loop, *side) {
	s := &side{make(chan *sent, 9), make(chan uint64, 9), make(chan error)}
	set := nettest.Settings(t)
	set.MostHeld = 0
	core, err := dispatch.New(set.Policy, 1)
	require.NoError(t, err)
	l := New(dispatch.NewChain(core, dispatch.Gates{Waiting: dispatch.NewWaitingGate(lim, set.Policy)}), set, s, s, NewClock())
	l.Post(dispatch.HostList{Version: 5, Whole: true, Stale: true, Hosts: []dispatch.Host{host}})
	start(t, l)
	return l, s
}

func detached(id string, wait dispatch.Wait) *Ticket {
	wait.Detached = true
	return &Ticket{Arrived: time.Now(), Forward: upstream.Request{Method: "POST", URI: "/plot-load/" + id,
		Host: "game.example.org", TraceID: id}, Job: dispatch.JobArrived{Tenant: -1, Budget: 15 * time.Second, Client: "c",
		Size: time.Second, Slots: 1, Wait: &wait}}
}

// Waiting jobs' ids do not fill the table of open ones, however many there are; an open one's is still refused.
func TestWaitingIDs(t *testing.T) {
	lim := waiting.Defaults()
	lim.MaxJobs, lim.ClientShare = 100_000, 1
	l, _ := waits(t, lim)
	open := submit(t, l, 0, 15*time.Second)
	require.ErrorIs(t, l.Submit(detached(open.Forward.TraceID, dispatch.Wait{})), ErrOpen)
	for i := range maxIDs + 100 {
		k := detached(fmt.Sprint("w", i), dispatch.Wait{NotBefore: time.Hour})
		require.NoError(t, l.Submit(k))
		require.True(t, nettest.Wait(t, k.Answer()).Accepted)
		l.Release(k, false)
	}
}

// Bytes a waiting job takes in the whole program but for its body, SIZE of them (20,000 where that is not set): the
// room's entry, the ticket, their ids and tables.
func BenchmarkBytesAWaitingJob(b *testing.B) {
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
		l, _ := waits(b, lim)
		before := heap()
		for i := range n {
			k := detached(fmt.Sprintf("%016x", i), dispatch.Wait{NotBefore: time.Hour})
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
