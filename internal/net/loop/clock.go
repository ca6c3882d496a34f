package loop

import "time"

// Clock maps the machine's clock to the clock of the core: Unix time at the start of the process, monotonic from then
// on. Deadlines and the start times of hosts (born_ms) share it.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the present time on this clock.
func (c Clock) Now() time.Duration { return c.Since(time.Now()) }

// Since converts a time that was taken after the start to this clock.
func (c Clock) Since(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// Time returns the time at which this clock shows d.
func (c Clock) Time(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}
