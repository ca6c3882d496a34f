package loop

import (
	"maps"
	"sync"
	"time"
)

const maxIDs = 16 << 10

// ids remembers the ids of the requests that were taken, each until its time is up. Upstream hosts know a job by
// its id alone: a second request with the same one would meddle with the first, answered or not.
type ids struct {
	mu    sync.Mutex
	until map[string]time.Time
	swept time.Time
}

// taken tells whether an id is.
func (s *ids) taken(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[id]
	return ok && !until.Before(now)
}

// claim takes an id for a request that arrived at now and has budget left.
func (s *ids) claim(id string, now time.Time, budget time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.swept) > time.Second {
		s.swept = now
		maps.DeleteFunc(s.until, func(_ string, until time.Time) bool { return until.Before(now) })
	}
	if until, ok := s.until[id]; ok && !until.Before(now) {
		return ErrOpen
	}
	if len(s.until) >= maxIDs {
		return ErrFull
	}
	s.until[id] = now.Add(budget)
	return nil
}
