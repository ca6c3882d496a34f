package dataplane

import (
	"net/http"
	"strconv"
	"time"
)

// deadlineHeader names the request header with the time that the client waits for its response, in milliseconds.
const deadlineHeader = "X-Gaugeslip-Deadline"

const (
	// certainShare is the share of the client's wait time after which a job that certainly wasn't accepted is refused.
	certainShare = 0.45
	// inDoubtShare is the share after which the dispatcher gives up on a request whose outcome is unknown.
	inDoubtShare = 0.85
	// maxWait bounds the wait time that a client may ask for.
	maxWait = 10 * time.Minute
	// minAbsoluteMs is the value from which on a deadline counts as a time of day in milliseconds since 1970.
	minAbsoluteMs = 1e11
)

// certainShareOf returns the share of the client's wait time during which attempts are made as long as none may have been
// executed. A job is refused early so that the client has time to submit it elsewhere.
func certainShareOf(method string) float64 {
	if method == http.MethodPost {
		return certainShare
	}
	return inDoubtShare
}

// deadlines holds until when attempts are made for a request.
type deadlines struct {
	// certain applies while no call can have been executed, inDoubt as soon as one may have been.
	certain, inDoubt time.Time
}

func newDeadlines(arrived time.Time, wait time.Duration, share float64) deadlines {
	return deadlines{
		certain: arrived.Add(time.Duration(float64(wait) * share)),
		inDoubt: arrived.Add(time.Duration(float64(wait) * inDoubtShare)),
	}
}

func (p deadlines) until(inDoubt bool) time.Time {
	if inDoubt {
		return p.inDoubt
	}
	return p.certain
}

// clientWait parses the deadline header: milliseconds, a duration with its unit, or a time of day in milliseconds. ok is false if
// the value is unusable.
func clientWait(text string, now time.Time) (wait time.Duration, ok bool) {
	if text == "" {
		return 0, false
	}
	if duration, err := time.ParseDuration(text); err == nil {
		return clampWait(duration)
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number != number {
		return 0, false
	}
	if number >= minAbsoluteMs {
		number -= float64(now.UnixMilli())
	}
	if number > float64(maxWait/time.Millisecond) {
		return maxWait, true
	}
	return clampWait(time.Duration(number * float64(time.Millisecond)))
}

func clampWait(wait time.Duration) (time.Duration, bool) {
	return min(wait, maxWait), wait > 0
}
