package control

import (
	"slices"
	"time"
)

// clockReadingTTL is how long the reading of another replica's clock counts.
const clockReadingTTL = 5 * time.Second

// wallClock estimates the time of day as the median over the replicas' clocks: one that jumps doesn't move it.
type wallClock struct {
	others map[string]clockReading
}

// clockReading is by how much another replica's time of day was ahead of ours, and when that was read.
type clockReading struct {
	offset time.Duration
	at     time.Duration
}

func newWallClock() *wallClock { return &wallClock{others: map[string]clockReading{}} }

// observe takes in what another replica's clock showed: its time of day, against ours at the middle of the call.
func (w *wallClock) observe(from string, theirs, ours time.Time, now time.Duration) {
	w.others[from] = clockReading{offset: theirs.Sub(ours), at: now}
}

// offset is what has to be added to our time of day to have the median.
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
