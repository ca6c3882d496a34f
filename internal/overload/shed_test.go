package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gaugeslip/policy"
)

func shedding() *policy.Config {
	return &policy.Config{Classes: []policy.Class{{Name: "plot-load", Worth: 5, Deadline: 8 * time.Second, OnTime: 400 * time.Millisecond},
		{Name: "harvest-sale", Worth: 10, Deadline: 25 * time.Second, OnTime: 2 * time.Second}}, WorthByWork: true, MaxRetryAfter: 2 * time.Second}
}

// pressed is a Shedder that lets in a share of what is asked for, half of it of each class.
func pressed(t require.TestingT, admit float64) *Shedder {
	s, err := NewShedder(Defaults(), shedding())
	require.NoError(t, err)
	s.admit, s.mean = admit, 1
	s.classes[0].share, s.classes[1].share = 0.5, 0.5
	return s
}

// ask asks for a job at a time, with what the Shedder lets in held still.
func (s *Shedder) ask(now time.Duration, j Job) (bool, time.Duration) {
	s.at = now
	classes, admit := [2]offered{s.classes[0], s.classes[1]}, s.admit
	ok, after := s.AdmitJob(now, j)
	copy(s.classes, classes[:])
	s.admit = admit
	return ok, after
}

// What one dispatcher refuses all refuse that are as hard pressed, or harder, as long as the client comes at once; and any job
// has its turn within the time of one.
func TestOneVerdictForAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		admit := rapid.Float64Range(0.3, 0.95).Draw(t, "admit")
		a, b := pressed(t, admit), pressed(t, admit*rapid.Float64Range(0.8, 1).Draw(t, "harder"))
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "now"))
		j := Job{Class: rapid.IntRange(0, 1).Draw(t, "class"), Key: rapid.Uint64().Draw(t, "key"), Keyed: true, Work: time.Second}
		if ok, _ := a.ask(now, j); !ok {
			other, _ := b.ask(now+time.Millisecond, j)
			turned := b.place(now+time.Millisecond, j.Class, j.Key) < a.place(now, j.Class, j.Key) // its next turn has begun
			if other && !turned {
				t.Fatal("refused by one, let in by another that is harder pressed")
			}
		}
		for at := time.Duration(0); ; at += 10 * time.Millisecond {
			if ok, _ := b.ask(now+at, j); ok {
				break
			}
			require.Less(t, at, 2*time.Second, "shut out")
		}
	})
}

// Of the work that is asked for about the share is let in that is to be, the dear class first, and the floor of each always.
func TestOrderAndFloor(t *testing.T) {
	for _, c := range []struct{ admit, plots, sales float64 }{{1, 1, 1}, {0.8, 0.6, 1}, {0.625, 0.25, 1}, {0.4, 0.25, 0.55}, {0.25, 0.25, 0.25}} {
		s := pressed(t, c.admit)
		var in, all [2]float64
		for i := range 8000 {
			class := i % 2
			all[class]++
			if ok, _ := s.ask(time.Duration(i)*time.Millisecond, Job{Class: class, Key: uint64(i), Work: time.Second}); ok {
				in[class]++
			}
		}
		assert.InDelta(t, c.plots, in[0]/all[0], 0.05, "%+v", c)
		assert.InDelta(t, c.sales, in[1]/all[1], 0.05, "%+v", c)
	}
	l := Defaults()
	l.Order = []string{"plot-load", "harvest-sale"}
	s, err := NewShedder(l, shedding())
	require.NoError(t, err)
	assert.Equal(t, []int{0, 1}, s.order)
	for _, bad := range [][]string{{"plot-load"}, {"plot-load", "plot-load"}, {"plot-load", "harvest-sale", "news"}} {
		l.Order = bad
		_, err := NewShedder(l, shedding())
		assert.ErrorContains(t, err, "order: ", bad)
	}
}

// Who was told when to come is let in then, at any dispatcher, nine times in ten and more, however hard all are pressed; and
// what is promised is never more work than the floor can hold.
func TestPromisesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := pressed(t, 0.4), pressed(t, 0.25)
		begin := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "begin"))
		promised, kept, offered := 0, 0, 0
		for i := range 2000 {
			now := begin + time.Duration(i)*5*time.Millisecond
			j := Job{Class: i % 2, Key: uint64(i), Keyed: true, Work: time.Second}
			offered++
			ok, after := s.ask(now, j)
			require.LessOrEqual(t, after, 2*time.Second, "longer than the settings allow")
			if ok || after == s.longest {
				continue
			}
			promised++
			if ok, _ := other.ask(now+after+5*time.Millisecond, j); ok {
				kept++
			}
		}
		require.Greater(t, promised, 100)
		require.GreaterOrEqual(t, float64(kept), 0.9*float64(promised))
		require.LessOrEqual(t, float64(promised), 0.25*float64(offered)+4)
	})
}

// What is let in shrinks under refusals and late ends, never below the floor, and is all again some seconds after they end,
// at a dispatcher of many jobs as at one of few. Now and then one late job does not keep it down.
func TestShareFollows(t *testing.T) {
	for every, low := range map[time.Duration]float64{50 * time.Millisecond: 0.28, 2 * time.Second: 0.6} { // time brings back who sees little
		s, now := pressed(t, 1), time.Duration(0)
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

// A client that says it has asked before, and not of what, is dealt no second place in its class.
func TestRetryIsNoNewTicket(t *testing.T) {
	s := pressed(t, 0.6)
	for i := range 200 {
		ok, _ := s.ask(time.Duration(i)*time.Second, Job{Class: 0, Key: uint64(i), Retry: true, Work: time.Second})
		assert.False(t, ok)
	}
}

func BenchmarkShed(b *testing.B) {
	s := pressed(b, 0.25)
	b.ReportAllocs()
	for i := range b.N {
		s.admit = 0.25
		s.AdmitJob(time.Duration(i), Job{Class: i & 1, Key: uint64(i), Keyed: true, Work: time.Second})
	}
}
