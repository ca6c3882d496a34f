package control

import (
	"slices"
	"time"
)

// clockReadingTTL is how long a reading of another replica's clock is used.
const clockReadingTTL = 5 * time.Second

// wallClock estimates the time of day as the median over the replicas' clocks, so that a jump of one clock does not move it.
type wallClock struct {
	others map[string]clockReading
}

// clockReading is the offset of another replica's time of day from the local one, positive if it is ahead, and when it was read.
type clockReading struct {
	offset time.Duration
	at     time.Duration
}

func newWallClock() *wallClock { return &wallClock{others: map[string]clockReading{}} }

// observe records another replica's time of day against the local one at the middle of the call.
func (w *wallClock) observe(from string, theirs, ours time.Time, now time.Duration) {
	w.others[from] = clockReading{offset: theirs.Sub(ours), at: now}
}

// offset returns the difference between the median and the local time of day.
func (w *wallClock) offset(now time.Duration) time.Duration {
	offsets := []time.Duration{0}
	for from, reading := range w.others {
		if now-reading.at > clockReadingTTL {
			delete(w.others, from)
			continue
		}
		offsets = append(offsets, reading.offset)
	}
	slices.Sort(offsets)
	if middle := len(offsets) / 2; len(offsets)%2 == 1 {
		return offsets[middle]
	}
	return offsets[len(offsets)/2-1]
}
