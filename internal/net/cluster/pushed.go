package cluster

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/pause"
)

const (
	// minRetryWait is the wait after the first failed call where lists are pushed; it doubles with each further
	// failure.
	minRetryWait = 25 * time.Millisecond
	// graceDivisor limits the wait between calls to this fraction of Pushed.Grace.
	graceDivisor = 4
	// maxRetryWait is the upper limit of that wait.
	maxRetryWait = 250 * time.Millisecond
)

// Pushed is the Source to use if the settings say that lists are pushed. Discovery's agent then counts a list as
// delivered whether or not a watch is open, so a watch should always be open. One that breaks is reopened at once; if
// that fails, it is retried after a wait that is short compared with Grace. The loss is not reported to the decision
// module, which could not request anything in response.
type Pushed struct {
	Source
	Grace time.Duration // how long after the notice of a drain a dispatcher may still send to the host; 0: unknown
}

// Watch follows the source until ctx ends.
func (s *Pushed) Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error {
	most := maxRetryWait
	if s.Grace > 0 {
		most = min(most, max(minRetryWait, s.Grace/graceDivisor))
	}
	for wait := time.Duration(0); ; {
		received := false
		err := s.Source.Watch(ctx, after, func(l dispatch.HostList) {
			received, after = true, l.Version
			each(l)
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if received {
			slog.Info("watch of pushed lists broke; reopening it", "error", err)
			wait = 0
			continue
		}
		slog.Debug("cannot open the watch of pushed lists", "error", err)
		wait = min(max(minRetryWait, 2*wait), most)
		if err := pause.For(ctx, wait/2+rand.N(wait/2)); err != nil {
			return err
		}
	}
}
