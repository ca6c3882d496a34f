package cluster

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/dispatch"
)

// discovery works off calls in turn, 90 ms each, and answers 503 to one that has waited for 2 s, which it still works off.
// It returns how many of n dispatchers had their list in 20 s, when each waits next() before a call.
func discovery(n int, next func(i int, failed bool) time.Duration) (served int) {
	const cost, patience, until, done = 90 * time.Millisecond, 2 * time.Second, 20 * time.Second, time.Hour
	ask, free := make([]time.Duration, n), time.Duration(0)
	for i := range ask {
		ask[i] = next(i, false)
	}
	for {
		at := slices.Min(ask)
		if at > until {
			return served
		}
		first, begin := slices.Index(ask, at), max(at, free)
		free = begin + cost
		if ask[first] = done; begin-at <= patience {
			served++
		} else {
			ask[first] = at + patience + next(first, true)
		}
	}
}

// 80 dispatchers that start at once, on a discovery that needs 7 s for them all.
func TestPaceOfManyStarts(t *testing.T) {
	const n = 80
	paces := make([]*Pace, n)
	for i := range paces {
		paces[i] = NewPace(n, uint64(i), 10*time.Second, 0)
	}
	assert.Equal(t, n, discovery(n, func(i int, failed bool) time.Duration {
		if failed {
			paces[i].Ended(false, false)
		}
		return paces[i].Next()
	}), "all have the list")
	assert.Less(t, discovery(n, func(i int, failed bool) time.Duration {
		if failed {
			return 500 * time.Millisecond
		}
		return time.Duration(i) * 5 * time.Millisecond
	}), n/2, "a wait that knows nothing of how many there are: the model has no such failure otherwise")
}

func TestPaceWindows(t *testing.T) {
	longest := func(p *Pace) (most float64) {
		for range 1000 {
			most = max(most, p.Next().Seconds())
		}
		return most
	}
	few := NewPace(few, 1, 10*time.Second, 0)
	few.Ended(false, false)
	assert.Zero(t, longest(few), "ten dispatchers ask at once, as one does")
	assert.LessOrEqual(t, longest(NewPace(1000, 1, 10*time.Second, 0)), 8., "asked before it counts as told")
	// A watch that fell silent 3.5 s ago has to be opened anew before what it misses counts as told, however many there are.
	for grace, want := range map[time.Duration]float64{500 * time.Millisecond: 1.5, 3 * time.Second: 4} {
		silent := NewPace(300, 1, 10*time.Second, grace)
		silent.Ended(true, true)
		assert.LessOrEqual(t, longest(silent), want)
		silent.Ended(false, true)
		assert.Greater(t, longest(silent), 8., "a call that was not answered failed")
		for range 20 {
			silent.Ended(false, false)
		}
		assert.LessOrEqual(t, longest(silent), 32., "held to its list for four times as long, and asked before")
	}
	p := NewPace(80, 1, 0, 0)
	assert.InDelta(t, 7, longest(p), 0.5)
	p.Ended(false, false)
	assert.InDelta(t, 14, longest(p), 1)
	for range 20 {
		p.Ended(false, false)
	}
	assert.LessOrEqual(t, longest(p), 7.*(1<<maxDoublings))
	p.Ended(true, false)
	assert.InDelta(t, 7, longest(p), 0.5, "a watch that told something forgives the failures")
}

// lost is a source whose every call fails.
type lost struct{ calls int }

func (l *lost) Watch(context.Context, uint64, func(dispatch.HostList)) error {
	l.calls++
	return errors.New("status 503")
}

func TestPacedGivesUpWithItsContext(t *testing.T) {
	l := &lost{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := &Paced{Source: l, Pace: NewPace(80, 1, 0, 0)}
	assert.ErrorIs(t, s.Watch(ctx, 0, nil), context.Canceled)
	assert.Zero(t, l.calls)
	s.Pace = &Pace{}
	assert.ErrorContains(t, s.Watch(t.Context(), 0, nil), "503")
	assert.Equal(t, 1, l.calls, "one call, one failure")
}
