package scheduler

import (
	"math"
	"time"
)

// slowestRate is the rate of the slowest worker's clock against ours, with something to spare for our own.
const slowestRate = 0.97

// workerClock is what is known of one worker's own steady clock: a reading, and when at the latest it was taken.
type workerClock struct {
	known  bool
	readMs int64
	readAt time.Duration
}

// read takes in a reading whose answer was received at a time; the reading that tells most is kept.
func (c *workerClock) read(readMs int64, receivedAt time.Duration) {
	if readMs <= 0 || c.known && c.lower(receivedAt) > readMs {
		return
	}
	c.known, c.readMs, c.readAt = true, readMs, receivedAt
}

// lower is a time in milliseconds that the worker's clock has surely reached.
func (c *workerClock) lower(now time.Duration) int64 {
	passed := float64(max(now-c.readAt, 0)) * slowestRate
	return c.readMs + int64(passed/float64(time.Millisecond))
}

// mayBeAhead is by how much a clock that isn't slow is ahead of lower.
func (c *workerClock) mayBeAhead(now time.Duration) time.Duration {
	return time.Duration(float64(max(now-c.readAt, 0)) * (1 - slowestRate))
}

// surelyPast is the time on our clock from which on the worker's clock has surely passed a time in milliseconds.
func (c *workerClock) surelyPast(dueMs int64) time.Duration {
	ahead := float64(dueMs+1-c.readMs) / slowestRate
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

// steady gives the time on the steady clock at which the time of day is, or was, reached.
func (c *wallClock) steady(unixMs int64) time.Duration {
	return c.at + time.Duration(unixMs-c.unixMs)*time.Millisecond
}
