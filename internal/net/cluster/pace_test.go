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

// simulateDiscovery simulates a discovery that processes calls in turn, 90 ms each. It answers 503 to a call that has
// waited for 2 s, but processes it nevertheless. It returns how many of n dispatchers had their list within 20 s if
// each waits next() before a call.
func simulateDiscovery(n int, next func(i int, failed bool) time.Duration) (served int) {
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

// 80 dispatchers start at the same time with a discovery that needs 7 s for all of them.
func TestPaceOfManyStarts(t *testing.T) {
	const n = 80
	paces := make([]*Pace, n)
	for i := range paces {
		paces[i] = NewPace(n, uint64(i), 10*time.Second, 0)
	}
	assert.Equal(t, n, simulateDiscovery(n, func(i int, failed bool) time.Duration {
		if failed {
			paces[i].Ended(false, false)
		}
		return paces[i].Next()
	}), "all have the list")
	assert.Less(t, simulateDiscovery(n, func(i int, failed bool) time.Duration {
		if failed {
			return 500 * time.Millisecond
		}
		return time.Duration(i) * 5 * time.Millisecond
	}), n/2, "waits that ignore the number of dispatchers must fail in this model")
}

func TestPaceWindows(t *testing.T) {
	longest := func(p *Pace) (most float64) {
		for range 1000 {
			most = max(most, p.Next().Seconds())
		}
		return most
	}
	few := NewPace(unpacedReplicas, 1, 10*time.Second, 0)
	few.Ended(false, false)
	assert.Zero(t, longest(few), "ten dispatchers ask at once, as one does")
	assert.LessOrEqual(t, longest(NewPace(1000, 1, 10*time.Second, 0)), 8., "calls before the list counts as delivered")
	// A watch that fell silent 3.5 s ago must be reopened before discovery counts what it misses as delivered, whatever
	// the number of dispatchers.
	for grace, want := range map[time.Duration]float64{500 * time.Millisecond: 1.5, 3 * time.Second: 4} {
		silent := NewPace(300, 1, 10*time.Second, grace)
		silent.Ended(true, true)
		assert.LessOrEqual(t, longest(silent), want)
		silent.Ended(false, true)
		assert.Greater(t, longest(silent), 8., "an unanswered call counts as failed")
		for range 20 {
			silent.Ended(false, false)
		}
		assert.LessOrEqual(t, longest(silent), 32., "calls within four times the permitted time")
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
	assert.InDelta(t, 7, longest(p), 0.5, "a watch that received a list resets the failures")
}

// failingSource is a source whose every call fails.
type failingSource struct{ calls int }

func (l *failingSource) Watch(context.Context, uint64, func(dispatch.HostList)) error {
	l.calls++
	return errors.New("status 503")
}

func TestPacedEndsWithItsContext(t *testing.T) {
	l := &failingSource{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := &Paced{Source: l, Pace: NewPace(80, 1, 0, 0)}
	assert.ErrorIs(t, s.Watch(ctx, 0, nil), context.Canceled)
	assert.Zero(t, l.calls)
	s.Pace = &Pace{}
	assert.ErrorContains(t, s.Watch(t.Context(), 0, nil), "503")
	assert.Equal(t, 1, l.calls, "one call, one failure")
}
