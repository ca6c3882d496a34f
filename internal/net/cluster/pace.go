package cluster

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/pause"
)

const (
	// few is how many dispatchers one discovery serves at once without any noticing the others.
	few = 10
	// turn is the time that each dispatcher beyond these gives discovery for its call. One call took it 60 to 90 ms
	// on the large fleet's days; a call that has waited over 2 s fails and is worked off all the same.
	turn = 100 * time.Millisecond
	// maxDoublings bounds the growth of the window: 16 times the first one.
	maxDoublings = 4
	// toldAfter is when what a silent watch misses counts as told, from its last line; reopenIn is what passes of that
	// beside the silence itself and the pace: the module's wait and the call.
	toldAfter = 6 * time.Second
	reopenIn  = 1500 * time.Millisecond
	// sparely is the part of a time within which a dispatcher has to have asked that the pace uses.
	sparely = 0.8
	// afterFailure is how many times as long the list may be held after a call that failed.
	afterFailure = 4
)

// Pace says how long to wait before each call for the list: full jitter over a window that grows with the number of
// dispatchers and doubles with each call that failed. Dispatchers that start or lose their watch together would else ask
// together, fail together after the same wait, and ask together again: discovery, which works off calls that nobody waits
// for any more, then serves none of them. Few dispatchers don't wait at all. The zero value is that of few.
type Pace struct {
	first  time.Duration // bounded, as a dispatcher that hasn't asked for long counts as told
	silent time.Duration // after a watch that fell silent: bounded by when what it misses counts as told
	window time.Duration
	most   time.Duration // after calls that failed
	rng    *rand.Rand
	failed int
	stall  bool // the last watch fell silent
}

// NewPace makes the pace of one of so many dispatchers. askWithin is the time after the start within which it has to have
// asked, 0: there is no such time; grace is how long after it was told of a drain a dispatcher may still send.
func NewPace(replicas int, seed uint64, askWithin, grace time.Duration) *Pace {
	window := time.Duration(max(0, replicas-few)) * turn
	p := &Pace{first: window, window: window, most: window << maxDoublings, rng: rand.New(rand.NewPCG(seed, 1))}
	if askWithin > 0 {
		within := time.Duration(sparely * float64(askWithin))
		p.first, p.most = min(window, within), min(p.most, afterFailure*within)
	}
	p.silent = min(p.first, max(0, toldAfter+grace-StallTimeout-reopenIn))
	return p
}

// Next is the wait before the next call.
func (p *Pace) Next() time.Duration {
	if p.window <= 0 {
		return 0
	}
	window := min(p.window<<min(p.failed, maxDoublings), p.most)
	switch {
	case p.stall:
		window = p.silent
	case p.failed == 0:
		window = p.first
	}
	return time.Duration(p.rng.Float64() * float64(window))
}

// Ended takes in how a call went: whether discovery told anything before it broke, and whether it broke by silence.
func (p *Pace) Ended(told, silent bool) {
	if p.failed++; told {
		p.failed = 0
	}
	p.stall = told && silent
}

// Paced is a Source whose calls are paced. Like any Source it is for one watch at a time.
type Paced struct {
	Source
	Pace *Pace
}

// Watch waits its turn, then watches.
func (s *Paced) Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error {
	if err := pause.For(ctx, s.Pace.Next()); err != nil {
		return err
	}
	told := false
	err := s.Source.Watch(ctx, after, func(l dispatch.HostList) {
		told = true
		each(l)
	})
	s.Pace.Ended(told, errors.Is(err, os.ErrDeadlineExceeded))
	return err
}
