package scheduler

import (
	"math"
	"time"
)

// minClockRate is the lowest rate of a worker's clock relative to ours, with a margin for our own clock.
const minClockRate = 0.97

// workerClock holds what is known of one worker's own monotonic clock: a reading, and the latest time at which it can have been taken.
type workerClock struct {
	known  bool
	readMs int64
	readAt time.Duration
}

// observe records a reading from an answer received at receivedAt. It keeps the reading that gives the highest lower bound.
func (c *workerClock) observe(readMs int64, receivedAt time.Duration) {
	if readMs <= 0 || c.known && c.lowerBound(receivedAt) > readMs {
		return
	}
	c.known, c.readMs, c.readAt = true, readMs, receivedAt
}

// lowerBound returns a time in milliseconds that the worker's clock has certainly reached.
func (c *workerClock) lowerBound(now time.Duration) int64 {
	passed := float64(max(now-c.readAt, 0)) * minClockRate
	return c.readMs + int64(passed/float64(time.Millisecond))
}

// maxAhead returns by how much a clock that is not slow is ahead of lowerBound.
func (c *workerClock) maxAhead(now time.Duration) time.Duration {
	return time.Duration(float64(max(now-c.readAt, 0)) * (1 - minClockRate))
}

// passedBy returns the time on our clock by which the worker's clock has certainly passed dueMs.
func (c *workerClock) passedBy(dueMs int64) time.Duration {
	ahead := float64(dueMs+1-c.readMs) / minClockRate
	return c.readAt + time.Duration(math.Ceil(ahead*float64(time.Millisecond)))
}

// wallClock relates the trusted wall-clock time to the monotonic clock.
type wallClock struct {
	known  bool
	unixMs int64
	at     time.Duration
}

func (c *wallClock) set(at time.Duration, unixMs int64) {
	c.known, c.unixMs, c.at = true, unixMs, at
}

// toSteady converts a wall-clock time to the monotonic clock.
func (c *wallClock) toSteady(unixMs int64) time.Duration {
	return c.at + time.Duration(unixMs-c.unixMs)*time.Millisecond
}
