package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gaugeslip/policy"
)

func shedConfig() *policy.Config {
	return &policy.Config{Classes: []policy.Class{{Name: "plot-load", Worth: 5, Deadline: 8 * time.Second, OnTime: 400 * time.Millisecond},
		{Name: "harvest-sale", Worth: 10, Deadline: 25 * time.Second, OnTime: 2 * time.Second}}, WorthByWork: true, MaxRetryAfter: 2 * time.Second}
}

// newOverloaded returns a Shedder that admits a share of the offered work, half of which is of each class.
func newOverloaded(t require.TestingT, admit float64) *Shedder {
	s, err := NewShedder(Defaults(), shedConfig())
	require.NoError(t, err)
	s.admittedShare, s.meanWork = admit, 1
	s.classes[0].share, s.classes[1].share = 0.5, 0.5
	return s
}

// admitFrozen decides on a job at a time and leaves the admitted share and the shares of classes unchanged.
func (s *Shedder) admitFrozen(now time.Duration, j Job) (bool, time.Duration) {
	s.lastArrival = now
	classes, admit := [2]classLoad{s.classes[0], s.classes[1]}, s.admittedShare
	ok, after := s.AdmitJob(now, j)
	copy(s.classes, classes[:])
	s.admittedShare = admit
	return ok, after
}

// If one dispatcher refuses a job, all that admit as much or less refuse it too, as long as the client retries at once. Every job is
// admitted at some time within its period.
func TestDispatchersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		admit := rapid.Float64Range(0.3, 0.95).Draw(t, "admit")
		a, b := newOverloaded(t, admit), newOverloaded(t, admit*rapid.Float64Range(0.8, 1).Draw(t, "harder"))
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "now"))
		j := Job{Class: rapid.IntRange(0, 1).Draw(t, "class"), Key: rapid.Uint64().Draw(t, "key"), Keyed: true, Work: time.Second}
		if ok, _ := a.admitFrozen(now, j); !ok {
			other, _ := b.admitFrozen(now+time.Millisecond, j)
			wrapped := b.phase(now+time.Millisecond, j.Class, j.Key) < a.phase(now, j.Class, j.Key) // its next period has started
			if other && !wrapped {
				t.Fatal("refused by one dispatcher, admitted by another that admits less")
			}
		}
		for at := time.Duration(0); ; at += 10 * time.Millisecond {
			if ok, _ := b.admitFrozen(now+at, j); ok {
				break
			}
			require.Less(t, at, 2*time.Second, "never admitted")
		}
	})
}

// About the admitted share of the offered work is admitted, the class with more worth first, and the floor of each class always.
func TestOrderAndFloor(t *testing.T) {
	for _, c := range []struct{ admitted, plots, sales float64 }{{1, 1, 1}, {0.8, 0.6, 1}, {0.625, 0.25, 1}, {0.4, 0.25, 0.55}, {0.25, 0.25, 0.25}} {
		s := newOverloaded(t, c.admitted)
		var in, all [2]float64
		for i := range 8000 {
			class := i % 2
			all[class]++
			if ok, _ := s.admitFrozen(time.Duration(i)*time.Millisecond, Job{Class: class, Key: uint64(i), Work: time.Second}); ok {
				in[class]++
			}
		}
		assert.InDelta(t, c.plots, in[0]/all[0], 0.05, "%+v", c)
		assert.InDelta(t, c.sales, in[1]/all[1], 0.05, "%+v", c)
	}
	l := Defaults()
	l.Order = []string{"plot-load", "harvest-sale"}
	s, err := NewShedder(l, shedConfig())
	require.NoError(t, err)
	assert.Equal(t, []int{0, 1}, s.order)
	for _, bad := range [][]string{{"plot-load"}, {"plot-load", "plot-load"}, {"plot-load", "harvest-sale", "news"}} {
		l.Order = bad
		_, err := NewShedder(l, shedConfig())
		assert.ErrorContains(t, err, "order: ", bad)
	}
}

// At least nine in ten jobs that got a time to retry are admitted then, at any dispatcher, however overloaded all are. No more work
// gets such a time than the floor can hold.
func TestRetryAfterIsHonoured(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := newOverloaded(t, 0.4), newOverloaded(t, 0.25)
		begin := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "begin"))
		promised, kept, offered := 0, 0, 0
		for i := range 2000 {
			now := begin + time.Duration(i)*5*time.Millisecond
			j := Job{Class: i % 2, Key: uint64(i), Keyed: true, Work: time.Second}
			offered++
			ok, after := s.admitFrozen(now, j)
			require.LessOrEqual(t, after, 2*time.Second, "longer than MaxRetryAfter")
			if ok || after == s.maxRetryAfter {
				continue
			}
			promised++
			if ok, _ := other.admitFrozen(now+after+5*time.Millisecond, j); ok {
				kept++
			}
		}
		require.Greater(t, promised, 100)
		require.GreaterOrEqual(t, float64(kept), 0.9*float64(promised))
		require.LessOrEqual(t, float64(promised), 0.25*float64(offered)+4)
	})
}

// The admitted share decreases with refusals and late ends, never below the floor. It is 1 again some seconds after they stop, with
// many jobs as with few. Occasional late jobs do not keep it low.
func TestAdmittedShareFollowsOutcomes(t *testing.T) {
	for every, low := range map[time.Duration]float64{50 * time.Millisecond: 0.28, 2 * time.Second: 0.6} { // with few jobs, time alone increases the share
		s, now := newOverloaded(t, 1), time.Duration(0)
		step := func(end Outcome) {
			now += every
			s.AdmitJob(now, Job{Class: 1, Key: uint64(now), Work: time.Second})
			s.JobEnded(time.Second, end)
		}
		for range 200 {
			step(Late)
		}
		assert.GreaterOrEqual(t, s.AdmittedShare(), s.floor, every)
		assert.Less(t, s.AdmittedShare(), low, every)
		begin := now
		for s.AdmittedShare() < 1 {
			step(InTime)
		}
		assert.Less(t, now-begin, 15*time.Second, every)
		for i := range 400 {
			step(map[bool]Outcome{true: Late, false: InTime}[i%50 == 0])
			assert.Greater(t, s.AdmittedShare(), 0.85)
		}
	}
}

// A retry without a key gets no second phase in its class.
func TestUnkeyedRetryIsNotAdmitted(t *testing.T) {
	s := newOverloaded(t, 0.6)
	for i := range 200 {
		ok, _ := s.admitFrozen(time.Duration(i)*time.Second, Job{Class: 0, Key: uint64(i), Retry: true, Work: time.Second})
		assert.False(t, ok)
	}
}

func BenchmarkShed(b *testing.B) {
	s := newOverloaded(b, 0.25)
	b.ReportAllocs()
	for i := range b.N {
		s.admittedShare = 0.25
		s.AdmitJob(time.Duration(i), Job{Class: i & 1, Key: uint64(i), Keyed: true, Work: time.Second})
	}
}
