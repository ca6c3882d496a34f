package budget

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// holder is one of several limits between which a test moves units, never more than the whole in total.
type holder interface {
	SetShare(time.Duration, Share)
	Take(time.Duration, float64) bool
}

// playMoves plays a random history of moves and uses, and returns the times of the uses. A move takes units from one holder before it
// gives them to another. Some units expire by themselves.
func playMoves(t *rapid.T, all []holder) (at []time.Duration) {
	n := len(all)
	free, owned, until := Whole, make([]Units, n), make([]time.Duration, n)
	now := time.Duration(0)
	for range rapid.IntRange(50, 300).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 40).Draw(t, "later")) * ms
		for i := range all {
			if owned[i] > 0 && now >= until[i] {
				free, owned[i] = free+owned[i], 0
			}
		}
		i := rapid.IntRange(0, n-1).Draw(t, "who")
		if rapid.IntRange(0, 5).Draw(t, "what") == 0 {
			free += owned[i]
			owned[i] = Units(rapid.IntRange(0, int(free)).Draw(t, "units"))
			free -= owned[i]
			until[i] = now + time.Duration(rapid.IntRange(1, 500).Draw(t, "for"))*ms
			all[i].SetShare(now, Share{Extra: owned[i], Until: until[i]})
		} else if all[i].Take(now, 1) {
			at = append(at, now)
		}
	}
	return at
}

// checkWindows checks that no window has more than a number of uses.
func checkWindows(t *rapid.T, at []time.Duration, window time.Duration, most float64) {
	first := 0
	for i, x := range at {
		for at[first] <= x-window {
			first++
		}
		if float64(i-first+1) > most+1e-6 {
			t.Fatalf("%d uses within %v at %v, want at most %g", i-first+1, window, x, most)
		}
	}
}

func TestTokenBucketKeepsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(1, 200).Draw(t, "rate"), rapid.Float64Range(0, 50).Draw(t, "burst")
		n := rapid.IntRange(1, 5).Draw(t, "holders")
		var all []holder
		for range n {
			all = append(all, &TokenBucket{PerSecond: rate, Burst: burst})
		}
		at := playMoves(t, all)
		for _, w := range []time.Duration{ms, 50 * ms, time.Second, 10 * time.Second} {
			checkWindows(t, at, w, rate*w.Seconds()+burst+float64(n))
		}
	})
}

func TestSlidingWindowKeepsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most, length := rapid.Float64Range(1, 60).Draw(t, "most"), time.Duration(rapid.IntRange(10, 400).Draw(t, "length"))*ms
		var all []holder
		for range rapid.IntRange(1, 4).Draw(t, "holders") {
			all = append(all, &SlidingWindow{Max: most, Length: length})
		}
		checkWindows(t, playMoves(t, all), length, most)
	})
}

// A holder whose share stays can use all of it.
func TestFullShareIsUsable(t *testing.T) {
	r, w, used := &TokenBucket{PerSecond: 100, Burst: 10}, &SlidingWindow{Max: 10, Length: 100 * ms}, [2]int{}
	for now := time.Duration(0); now < 10*time.Second; now += ms {
		if now == 0 {
			r.SetShare(now, Share{Floor: Whole})
			w.SetShare(now, Share{Floor: Whole})
		}
		for i, h := range []holder{r, w} {
			if h.Take(now, 1) {
				used[i]++
			}
		}
	}
	assert.InDelta(t, 1000, used[0], 12)
	assert.InDelta(t, 1000, used[1], 30)
	assert.InDelta(t, 5*ms, r.TimeUntil(10*time.Second, 0.5+r.tokens), float64(ms))
	r.SetShare(10*time.Second, Share{})
	assert.Negative(t, r.TimeUntil(11*time.Second, 1), "no tokens without a share")
	assert.False(t, r.Take(20*time.Second, 1))
}

// ConcurrencyLimit: a lost part of a share takes effect at the other holder only when the first has had the time to release.
func TestConcurrencyLimit(t *testing.T) {
	a, b := &ConcurrencyLimit{Max: 10, ReleaseTime: time.Second}, &ConcurrencyLimit{Max: 10, ReleaseTime: time.Second}
	a.SetShare(0, Share{Floor: Whole})
	assert.False(t, a.Take(0), "the previous process may hold all")
	now := 2 * time.Second
	for range 10 {
		assert.True(t, a.Take(now))
	}
	assert.False(t, a.Take(now))
	a.SetShare(now, Share{Floor: Whole / 2})
	b.SetShare(now, Share{Floor: Whole / 2})
	assert.Equal(t, 5, a.Excess(now))
	assert.False(t, b.Take(now+900*ms))
	for range 5 {
		a.Release()
	}
	assert.Zero(t, a.Excess(now))
	assert.True(t, b.Take(now+1100*ms))
}

// The parts never exceed the pool; a member that wants less than an equal part gets it; noise in the demand changes nothing.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "members")
		pool := Units(rapid.IntRange(0, int(Whole)).Draw(t, "pool"))
		draw := func(name string) (all []Units) {
			for range n {
				all = append(all, Units(rapid.IntRange(0, int(Whole)).Draw(t, name)))
			}
			return all
		}
		want := draw("want")
		parts := divide(pool, want, draw("had"))
		sum := int64(0)
		for _, p := range parts {
			if p < 0 {
				t.Fatal("negative part")
			}
			sum += int64(p)
		}
		if sum > int64(pool) {
			t.Fatalf("parts sum to %d, pool is %d", sum, pool)
		}
		parts = divide(pool, want, make([]Units, n))
		for i := range want {
			if equal := pool / Units(n); parts[i] < min(want[i], equal) {
				t.Fatalf("member %d wants %d, has %d, an equal part is %d", i, want[i], parts[i], equal)
			}
			want[i] = max(0, want[i]+want[i]%7-3)
		}
		again := divide(pool, want, parts)
		for i, p := range parts {
			if p > 0 && pool/Units(n) >= 64 && again[i] != p {
				t.Fatalf("member %d: part changed from %d to %d by noise", i, p, again[i])
			}
		}
	})
}

func TestMessagesOnTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Message{Kind: Kind(rapid.IntRange(1, int(kindEnd)-1).Draw(t, "kind")), From: rapid.IntRange(0, 1999).Draw(t, "from"),
			To: rapid.IntRange(0, 1999).Draw(t, "to"), Incarnation: rapid.Uint64().Draw(t, "life"), Requester: rapid.Uint64().Draw(t, "asker"),
			Ballot: Ballot{N: rapid.Uint32Max(1<<31).Draw(t, "n"), Proposer: rapid.Uint16Max(1999).Draw(t, "by"), Incarnation: rapid.Uint64().Draw(t, "l")},
			Open:   rapid.Bool().Draw(t, "open"), Seq: rapid.Uint32().Draw(t, "seq"), Epoch: rapid.Uint32().Draw(t, "epoch"),
			TTL: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "ttl")), Leader: rapid.IntRange(-1, 1999).Draw(t, "leader")}
		for range rapid.IntRange(0, 5).Draw(t, "budgets") {
			m.Units = append(m.Units, Units(rapid.IntRange(0, int(Whole)).Draw(t, "units")))
		}
		b := Append(nil, &m)
		got, err := Read(b)
		assert.NoError(t, err)
		assert.Equal(t, m, got)
		for cut := range b {
			if _, err := Read(b[:cut]); err == nil {
				t.Fatalf("%d of %d bytes are accepted as a message", cut, len(b))
			}
		}
		_, err = Read(append(b, 0))
		assert.Error(t, err)
	})
}

// FuzzRead checks that any input is either a message or an error, and that a node accepts any message.
func FuzzRead(f *testing.F) {
	f.Add(Append(nil, &Message{Kind: Request, From: 1, Incarnation: 7, Units: []Units{5}}))
	f.Add(Append(nil, &Message{Kind: Grant, From: 2, Incarnation: 7, TTL: time.Second, Units: []Units{Whole}}))
	f.Add([]byte{version, byte(Prepare)})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Read(b)
		if err != nil {
			return
		}
		n := NewNode(Config{Self: m.To % 3, Members: 3, Voters: 3, Budgets: 1, Floor: Whole / 4, LeaseTime: time.Second, RequestInterval: 200 * ms, Drift: 0.01, Incarnation: 9}, 0)
		n.Step(10*time.Second, nil)
		n.Step(10*time.Second, []Message{m})
		if u := n.Share(0).At(10 * time.Second); u > Whole {
			t.Fatalf("%+v gives %d units", m, u)
		}
	})
}

func TestCheck(t *testing.T) {
	for key, change := range map[string]func(*Limits){
		"way: ":        func(l *Limits) { l.Way = "vote" },
		"floor: ":      func(l *Limits) { l.Floor = 1.01 },
		"burst: ":      func(l *Limits) { l.Burst = 0 },
		"probes: ":     func(l *Limits) { l.Probes = math.NaN() },
		"list_calls: ": func(l *Limits) { l.ListCalls = math.Inf(1) },
	} {
		l := Defaults()
		assert.NoError(t, l.Check())
		change(&l)
		assert.ErrorContains(t, l.Check(), key)
	}
}

func BenchmarkTake(b *testing.B) {
	l := NewLedger([]Account{{Name: "a", PerSecond: 1e9, Burst: 1e9, Keyed: true}}, 0.01)
	l.SetShare(0, 0, Share{Floor: Whole})
	b.ReportAllocs()
	for i := range b.N {
		l.Take(time.Duration(i)*time.Microsecond, 0, uint64(i&63))
	}
}
