package hollow

import (
	"sync"
	"time"
)

// Clock is a steady clock with alarms. Now counts from the clock's own zero.
type Clock interface {
	Now() time.Duration
	// Alarm calls callback once, on any goroutine and never within the call itself, when the clock has reached at.
	Alarm(at time.Duration, callback func()) (cancel func())
}

// SteadyClock is the process's own steady clock.
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

// ManualClock stands still until it is advanced.
type ManualClock struct {
	mutex  sync.Mutex
	now    time.Duration
	alarms map[*manualAlarm]struct{}
}

type manualAlarm struct {
	at       time.Duration
	callback func()
}

// NewManualClock returns a clock that stands at now.
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

// Advance moves the clock on by span and rings every alarm on the way at its own time, on the caller's goroutine.
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

// takeNext moves the clock to the first alarm up to end and takes it away; without one it moves the clock to end.
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
