package node

import (
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"gaugeslip/internal/net/downstream"
	"gaugeslip/internal/overload"
)

// level feeds the answers that clients get to overload.Level and logs one line each time the level changes. Its
// methods may be called from any goroutine.
type level struct {
	next    downstream.AnswerCounter
	started time.Time
	mu      sync.Mutex
	level   *overload.Level
}

func newLevel(l overload.Limits, next downstream.AnswerCounter, started time.Time) *level {
	return &level{next: next, started: started, level: overload.NewLevel(l)}
}

// Answered implements downstream.AnswerCounter.
func (v *level) Answered(class, status int) {
	v.next.Answered(class, status)
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Since(v.started)
	if !v.level.RecordAnswer(now, status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		return
	}
	on, share := v.level.Current(now)
	text := map[bool]string{true: "overloaded", false: "no longer overloaded"}[on]
	slog.Warn(text, "refused_share", math.Round(share*100)/100, "turns", v.level.Changes())
}

func (v *level) now() (on bool, share float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.level.Current(time.Since(v.started))
}

func (v *level) on() float64 {
	if on, _ := v.now(); on {
		return 1
	}
	return 0
}

func (v *level) share() float64 {
	_, share := v.now()
	return share
}
