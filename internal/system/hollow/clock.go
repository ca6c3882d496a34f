package hollow

import (
	"sync"
	"time"
)

// Clock is a monotonic clock with alarms. Now counts from the clock's own zero.
type Clock interface {
	Now() time.Duration
	// Alarm calls callback once when the clock has reached at, on any goroutine, but never from within Alarm itself.
	Alarm(at time.Duration, callback func()) (cancel func())
}

// SteadyClock is the monotonic clock of the process.
type SteadyClock struct {
	zero time.Time
}

// NewSteadyClock returns a clock that starts at 0 now.
func NewSteadyClock() *SteadyClock {
	return &SteadyClock{zero: time.Now()}
}

// Now implements Clock.
func (clock *SteadyClock) Now() time.Duration {
	return time.Since(clock.zero)
}

// Alarm implements Clock.
func (clock *SteadyClock) Alarm(at time.Duration, callback func()) func() {
	timer := time.AfterFunc(at-clock.Now(), callback)
	return func() { timer.Stop() }
}

// ManualClock advances only by calls of Advance.
type ManualClock struct {
	mutex  sync.Mutex
	now    time.Duration
	alarms map[*manualAlarm]struct{}
}

type manualAlarm struct {
	at       time.Duration
	callback func()
}

// NewManualClock returns a clock that shows now.
func NewManualClock(now time.Duration) *ManualClock {
	return &ManualClock{now: now, alarms: make(map[*manualAlarm]struct{})}
}

// Now implements Clock.
func (clock *ManualClock) Now() time.Duration {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.now
}

// Alarm implements Clock.
func (clock *ManualClock) Alarm(at time.Duration, callback func()) func() {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	alarm := &manualAlarm{at: at, callback: callback}
	clock.alarms[alarm] = struct{}{}
	return func() {
		clock.mutex.Lock()
		defer clock.mutex.Unlock()
		delete(clock.alarms, alarm)
	}
}

// Advance moves the clock forward by span. It calls the callback of every alarm on the way at the alarm's time, on the caller's goroutine.
func (clock *ManualClock) Advance(span time.Duration) {
	end := clock.Now() + span
	for {
		alarm := clock.takeNext(end)
		if alarm == nil {
			return
		}
		alarm.callback()
	}
}

// takeNext moves the clock to the first alarm up to end and removes that alarm. Without such an alarm it moves the clock to end.
func (clock *ManualClock) takeNext(end time.Duration) *manualAlarm {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	var next *manualAlarm
	for alarm := range clock.alarms {
		if alarm.at <= end && (next == nil || alarm.at < next.at) {
			next = alarm
		}
	}
	if next == nil {
		clock.now = end
		return nil
	}
	clock.now = max(clock.now, next.at)
	delete(clock.alarms, next)
	return next
}
