package peers

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gaugeslip/coord/gossip"
)

// relay forwards connections to an address until it is cut.
type relay struct {
	to    string
	ln    net.Listener
	work  sync.WaitGroup
	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(t *testing.T, to string) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{to: to, ln: ln}
	r.work.Go(r.accept)
	t.Cleanup(func() {
		ln.Close()
		r.setCut(true)
		r.work.Wait()
	})
	return r
}

func (r *relay) accept() {
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.work.Go(func() { r.forward(near) })
	}
}

func (r *relay) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", r.to)
	if err != nil || !r.track(near, far) {
		return
	}
	defer far.Close()
	r.work.Go(func() {
		io.Copy(far, near)
		far.Close()
	})
	io.Copy(near, far)
}

// track registers connections to be closed by a cut. It returns false if the relay is cut.
func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, conns...)
	if r.cut {
		for _, c := range conns {
			c.Close()
		}
	}
	return !r.cut
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		for _, c := range r.conns {
			c.Close()
		}
		r.conns = nil
	}
}

const timeout = 30 * time.Second

// A member that one other cannot reach stays alive as long as a third can reach it. One that nobody reaches becomes silent, and alive
// again once it is reached. One that leaves has left, and the next process of it is alive.
func TestMemberStates(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	addrs := freeAddresses(t, 3)
	var ways [3][3]*relay // by from and to
	var seen [3][]string
	for from := range 3 {
		for to := range 3 {
			if from == to {
				seen[from] = append(seen[from], addrs[to])
				continue
			}
			ways[from][to] = newRelay(t, addrs[to])
			seen[from] = append(seen[from], ways[from][to].ln.Addr().String())
		}
	}
	member := func(i int, life uint64) *Peers {
		p := newMember(seen[i], i, life)
		p.cfg.Listen = addrs[i]
		return p
	}
	all := []*Peers{member(0, 1), member(1, 2), member(2, 3)}
	var stops []func()
	for _, p := range all {
		stops = append(stops, run(t, p))
	}
	sees := func(who, of int, state string) {
		t.Helper()
		require.Eventually(t, func() bool { return all[who].View().Members[of].State == state }, timeout, 5*time.Millisecond,
			"member %d sees %d as %s", who, of, state)
	}
	for who := range 3 {
		for of := range 3 {
			sees(who, of, stateAlive)
		}
	}

	ways[0][2].setCut(true)
	require.Never(t, func() bool { return all[0].Count(stateAlive) < 3 }, suspicionTimeout+2*time.Second, 20*time.Millisecond, "member 1 reaches it")

	for _, pair := range [][2]int{{1, 2}, {2, 0}, {2, 1}} {
		ways[pair[0]][pair[1]].setCut(true)
	}
	sees(0, 2, stateSilent)
	sees(1, 2, stateSilent)
	sees(2, 1, stateSilent)
	assert.Equal(t, 2.0, all[0].Count(stateAlive))

	for _, pair := range [][2]int{{0, 2}, {1, 2}, {2, 0}, {2, 1}} {
		ways[pair[0]][pair[1]].setCut(false)
	}
	sees(0, 2, stateAlive)
	sees(1, 2, stateAlive)
	sees(2, 1, stateAlive)

	stops[2]()
	sees(0, 2, stateLeft)
	sees(1, 2, stateLeft)
	all[2] = member(2, 4)
	run(t, all[2])
	sees(0, 2, stateAlive)
	sees(1, 2, stateAlive)
	sees(2, 0, stateAlive)
}

// Rosters that learn all versions in any order, with repeats, agree in the end, and no member that refutes its silence stays silent.
func TestRostersAgree(t *testing.T) {
	const members = 4
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var said []gossip.Value
		rosters := make([]roster, members)
		for i := range rosters {
			rosters[i] = newRoster(i, members)
			said = append(said, value(i, rosters[i].join(rng.Uint64N(3))))
		}
		hear := func(i int, v gossip.Value) {
			of := number(string(v.Key), members)
			if of != i {
				rosters[i].learn(of, v.Version)
			} else if answer, wanted := rosters[i].refute(v.Version); wanted {
				said = append(said, value(i, answer))
			}
		}
		for range 100 {
			i := rng.IntN(members)
			hear(i, said[rng.IntN(len(said))])
			if of := rng.IntN(members); of != i && rosters[i].alive(of) && rng.IntN(4) == 0 {
				slander := value(of, withStatus(rosters[i].versions[of], statusSilent))
				said = append(said, slander)
				hear(i, slander)
			}
		}
		said = append(said, value(0, rosters[0].leave()))
		for k := 0; k < len(said); k++ { // answers extend the list
			for i := range rosters {
				hear(i, said[k])
			}
		}
		for i := range rosters {
			for of := range rosters {
				want := stateAlive
				if of == 0 {
					want = stateLeft
				}
				require.Equal(t, want, rosters[i].state(of), "seed %d: %d of %d", seed, i, of)
				require.Equal(t, rosters[of].versions[of], rosters[i].versions[of])
			}
		}
	}
}

func value(member int, version gossip.Version) gossip.Value {
	return gossip.Value{Key: gossip.Key(name(member)), Version: version}
}

func TestNames(t *testing.T) {
	assert.Equal(t, 2, number(name(2), 3))
	for _, none := range []string{"", "m", "m3", "m-1", "2", "x2"} {
		assert.Equal(t, -1, number(none, 3), none)
	}
	unseen := newRoster(0, 2)
	assert.Equal(t, stateUnseen, unseen.state(1))
	assert.False(t, unseen.alive(1))
}
