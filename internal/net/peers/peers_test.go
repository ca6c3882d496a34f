package peers

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gaugeslip/internal/budget"
	"gaugeslip/internal/freeport/freeporttest"
)

// startMembers starts the members of a fleet on loopback, and stops them at the end of the test.
func startMembers(t *testing.T, n int) (all []*Peers, addrs []string) {
	addrs = freeAddresses(t, n)
	for i := range n {
		all = append(all, newMember(addrs, i, uint64(i+1)))
		run(t, all[i])
	}
	return all, addrs
}

// freeAddresses returns loopback addresses for future listeners.
func freeAddresses(t *testing.T, n int) (addrs []string) {
	for range n {
		addrs = append(addrs, freeporttest.Address(t))
	}
	return addrs
}

// An address that a test has reserved is not assigned to sockets that ask for any free port, such as the relays of TestMemberStates or
// those of other programs.
func TestFreeAddressesAreReserved(t *testing.T) {
	const asked = 150_000 // several times the number of ports
	taken := freeAddresses(t, 3)
	for range asked {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		ln.Close()
		require.NotContains(t, taken, ln.Addr().String())
	}
}

var began = time.Now()

func newMember(addrs []string, i int, life uint64) *Peers {
	l := Defaults()
	l.Listen, l.Members, l.Voters = addrs[i], addrs, 3
	return New(Config{Limits: l, Self: i, Floor: budget.Whole / 16, Life: life,
		Ledger: budget.NewLedger([]budget.Account{{Name: "a", PerSecond: 1000, Burst: 100}}, l.Drift), Now: func() time.Duration { return time.Since(began) }})
}

func run(t *testing.T, p *Peers) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); assert.NoError(t, p.Run(ctx)) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

func owned(all ...*Peers) (sum float64) {
	for _, p := range all {
		sum += p.cfg.Ledger.Status(p.cfg.Now())[0].Owned
	}
	return sum
}

// Three members find one another and own the whole budget together, never more. Invalid messages are counted and dropped. A member
// that leaves owns nothing, and the next process at its address waits until the address is free.
func TestMembersShareTheWholeBudget(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	all, addrs := startMembers(t, 3)
	eventually := func(what string, ok func() bool) {
		t.Helper()
		require.Eventually(t, func() bool {
			assert.LessOrEqual(t, owned(all...), 1.0)
			return ok()
		}, 20*time.Second, 5*time.Millisecond, what)
	}
	eventually("the whole is owned", func() bool { return owned(all...) > 0.99 })
	eventually("all are alive", func() bool { return all[0].Count("alive") == 3 && all[2].Count("alive") == 3 })
	leads := 0
	for _, p := range all {
		if v := p.View(); v.Leads {
			leads++
			assert.True(t, v.Bound)
		}
	}
	assert.Equal(t, 1, leads)

	for _, junk := range []string{"", "x", strings.Repeat("y", 60000), "\x08\x01\x01\x01", string(budget.Append(nil, &budget.Message{Kind: budget.Grant, TTL: time.Hour}))} {
		c, err := net.Dial("tcp", addrs[1])
		require.NoError(t, err)
		c.Write([]byte(junk))
		c.Close()
	}
	before := all[1].View().Dropped
	all[1].deliver([][]byte{
		[]byte("not a message"),
		budget.Append(nil, &budget.Message{Kind: budget.Request, To: 2, Incarnation: 5}), // addressed to another member
	})
	assert.Equal(t, before+2, all[1].View().Dropped)

	twin := newMember(addrs, 2, 99) // a second process of the same member
	run(t, twin)
	require.Never(t, func() bool { return owned(twin) > 0 }, 3*bindInterval, bindInterval/4, "it does not hold the address")
	assert.False(t, twin.View().Bound)
	old := all[2]
	all = append(all, twin)
	eventually("still whole", func() bool { return owned(all...) > 0.99 })
	oldCtx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NoError(t, newMember(addrs, 2, 100).Run(oldCtx), "stopped while it waits for the address")
	assert.Positive(t, owned(old))
}

func TestCheck(t *testing.T) {
	ok := Defaults()
	ok.Listen, ok.Members = "127.0.0.1:1", []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	assert.NoError(t, ok.Check())
	for key, change := range map[string]func(*Limits){
		"listen: ":  func(l *Limits) { l.Listen = "" },
		"members: ": func(l *Limits) { l.Members = []string{"127.0.0.1:1", "host:2"} },
		"voters: ":  func(l *Limits) { l.Voters = 2 },
		"drift: ":   func(l *Limits) { l.Drift = 0.5 },
	} {
		l := ok
		change(&l)
		assert.ErrorContains(t, l.Check(), key)
	}
}
