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
	// unpacedReplicas is how many dispatchers one discovery can serve at the same time without delay.
	unpacedReplicas = 10
	// callInterval is how much each further dispatcher lengthens the window. In the large fleet a call took discovery
	// 60 to 90 ms. A call that has waited for more than 2 s fails, but discovery still processes it.
	callInterval = 100 * time.Millisecond
	// maxDoublings limits the window to 16 times the first one.
	maxDoublings = 4
	// deliveredAfter is the time from the last line of a watch after which discovery counts changes as delivered
	// although the watch is silent. reopenTime is the part of it that passes apart from the silence itself and the
	// pace: the wait of the decision module and the call.
	deliveredAfter = 6 * time.Second
	reopenTime     = 1500 * time.Millisecond
	// askWithinFactor is the part of the permitted time that the pace uses.
	askWithinFactor = 0.8
	// failureFactor is how many times that time the window may reach after failed calls.
	failureFactor = 4
)

// Pace determines how long to wait before each call for the list: full jitter over a window that grows with the number
// of dispatchers and doubles with each failed call. Otherwise dispatchers that start or lose their watch at the same
// time would all call at the same time, fail at the same time and repeat that after equal waits. Discovery also
// processes calls whose clients have given up, and would then serve none of them. A small number of dispatchers does
// not wait at all; the zero value is the pace of such a dispatcher.
type Pace struct {
	firstWindow  time.Duration // bounded, since lists count as delivered to a dispatcher that has not asked for too long
	silentWindow time.Duration // after a watch that fell silent; ends before the changes it misses count as delivered
	window       time.Duration
	maxWindow    time.Duration // after failed calls
	rng          *rand.Rand
	failures     int
	lastSilent   bool // the last watch broke by silence
}

// NewPace returns the pace of one of replicas dispatchers. askWithin is the time after the start within which the
// dispatcher must have asked, or 0 if there is none. grace is how long after the notice of a drain a dispatcher may
// still send to the host.
func NewPace(replicas int, seed uint64, askWithin, grace time.Duration) *Pace {
	window := time.Duration(max(0, replicas-unpacedReplicas)) * callInterval
	p := &Pace{firstWindow: window, window: window, maxWindow: window << maxDoublings, rng: rand.New(rand.NewPCG(seed, 1))}
	if askWithin > 0 {
		within := time.Duration(askWithinFactor * float64(askWithin))
		p.firstWindow, p.maxWindow = min(window, within), min(p.maxWindow, failureFactor*within)
	}
	p.silentWindow = min(p.firstWindow, max(0, deliveredAfter+grace-StallTimeout-reopenTime))
	return p
}

// Next returns the wait before the next call.
func (p *Pace) Next() time.Duration {
	if p.window <= 0 {
		return 0
	}
	window := min(p.window<<min(p.failures, maxDoublings), p.maxWindow)
	switch {
	case p.lastSilent:
		window = p.silentWindow
	case p.failures == 0:
		window = p.firstWindow
	}
	return time.Duration(p.rng.Float64() * float64(window))
}

// Ended records the outcome of a call: whether discovery sent anything before it broke, and whether it broke by
// silence.
func (p *Pace) Ended(received, silent bool) {
	if p.failures++; received {
		p.failures = 0
	}
	p.lastSilent = received && silent
}

// Paced is a Source whose calls are paced. Like any Source it serves one watch at a time.
type Paced struct {
	Source
	Pace *Pace
}

// Watch waits as long as the pace requires, then watches.
func (s *Paced) Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error {
	if err := pause.For(ctx, s.Pace.Next()); err != nil {
		return err
	}
	received := false
	err := s.Source.Watch(ctx, after, func(l dispatch.HostList) {
		received = true
		each(l)
	})
	s.Pace.Ended(received, errors.Is(err, os.ErrDeadlineExceeded))
	return err
}
