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
	// retryFirst is the wait after a first call that failed where lists are pushed; it doubles with each further one.
	retryFirst = 25 * time.Millisecond
	// retryPart is the part of the time within which a drain has to be obeyed that a wait between such calls may take.
	retryPart = 4
	// retryMost bounds that wait.
	retryMost = 250 * time.Millisecond
)

// Pushed is the Source where the settings say that lists are pushed: what the service's agent has counts as told whether or
// not a watch is open, so there is one always. One that broke is opened again at once, and one that can't be after a wait
// that stays short against Grace. Nobody is told of a loss: there is nothing that the module could ask for.
type Pushed struct {
	Source
	Grace time.Duration // how long after it was told of a drain a dispatcher may still send; 0: not said
}

// Watch follows the source until ctx ends.
func (s *Pushed) Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error {
	most := retryMost
	if s.Grace > 0 {
		most = min(most, max(retryFirst, s.Grace/retryPart))
	}
	for wait := time.Duration(0); ; {
		told := false
		err := s.Source.Watch(ctx, after, func(l dispatch.HostList) {
			told, after = true, l.Version
			each(l)
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if told {
			slog.Info("pushed lists lost, opened again", "error", err)
			wait = 0
			continue
		}
		slog.Debug("pushed lists can't be had", "error", err)
		wait = min(max(retryFirst, 2*wait), most)
		if err := pause.For(ctx, wait/2+rand.N(wait/2)); err != nil {
			return err
		}
	}
}
