package loop

import (
	"maps"
	"sync"
	"time"
)

const maxIDs = 16 << 10

// idTable remembers the ids of accepted requests, each until its budget is used up. Upstream hosts identify a job by
// its id alone: a second request with the same id would interfere with the first, answered or not.
type idTable struct {
	mu     sync.Mutex
	expiry map[string]time.Time
	swept  time.Time
}

// taken reports whether an id is in use.
func (s *idTable) taken(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.expiry[id]
	return ok && !until.Before(now)
}

// claim reserves an id for a request that arrived at now with the given budget.
func (s *idTable) claim(id string, now time.Time, budget time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.swept) > time.Second {
		s.swept = now
		maps.DeleteFunc(s.expiry, func(_ string, until time.Time) bool { return until.Before(now) })
	}
	if until, ok := s.expiry[id]; ok && !until.Before(now) {
		return ErrDuplicateID
	}
	if len(s.expiry) >= maxIDs {
		return ErrFull
	}
	s.expiry[id] = now.Add(budget)
	return nil
}
