package loop

import "time"

// Clock maps the machine's clock onto the one that the core and its module live by: Unix time as it was at
// the start, monotonic from then on. Deadlines and the cluster's starts (born_ms) share it.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time on this clock.
func (c Clock) Now() time.Duration { return c.Since(time.Now()) }

// Since is a time, taken since the start, on this clock.
func (c Clock) Since(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// Time is the time at which this clock shows d.
func (c Clock) Time(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}
