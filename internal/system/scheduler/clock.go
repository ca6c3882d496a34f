package scheduler

import (
	"math"
	"time"
)

// minClockRate is the rate of the slowest worker's clock against ours, with something to spare for our own.
const minClockRate = 0.97

// workerClock is what is known of one worker's own steady clock: a reading, and when at the latest it was taken.
type workerClock struct {
	known  bool
	readMs int64
	readAt time.Duration
}

// observe takes in a reading whose answer was received at a time; the reading that tells most is kept.
func (c *workerClock) observe(readMs int64, receivedAt time.Duration) {
	if readMs <= 0 || c.known && c.lowerBound(receivedAt) > readMs {
		return
	}
	c.known, c.readMs, c.readAt = true, readMs, receivedAt
}

// lowerBound is a time in milliseconds that the worker's clock has surely reached.
func (c *workerClock) lowerBound(now time.Duration) int64 {
	passed := float64(max(now-c.readAt, 0)) * minClockRate
	return c.readMs + int64(passed/float64(time.Millisecond))
}

// maxAhead is by how much a clock that isn't slow is ahead of lower.
func (c *workerClock) maxAhead(now time.Duration) time.Duration {
	return time.Duration(float64(max(now-c.readAt, 0)) * (1 - minClockRate))
}

// passedBy is the time on our clock from which on the worker's clock has surely passed a time in milliseconds.
func (c *workerClock) passedBy(dueMs int64) time.Duration {
	ahead := float64(dueMs+1-c.readMs) / minClockRate
	return c.readAt + time.Duration(math.Ceil(ahead*float64(time.Millisecond)))
}

// wallClock relates the trusted time of day to the steady clock.
type wallClock struct {
	known  bool
	unixMs int64
	at     time.Duration
}

func (c *wallClock) set(at time.Duration, unixMs int64) {
	c.known, c.unixMs, c.at = true, unixMs, at
}

// toSteady gives the time on the steady clock at which the time of day is, or was, reached.
func (c *wallClock) toSteady(unixMs int64) time.Duration {
	return c.at + time.Duration(unixMs-c.unixMs)*time.Millisecond
}
