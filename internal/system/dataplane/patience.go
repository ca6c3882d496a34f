package dataplane

import (
	"net/http"
	"strconv"
	"time"
)

// deadlineHeader tells how long the client waits for its answer, in milliseconds.
const deadlineHeader = "X-Gaugeslip-Deadline"

const (
	// certainShare is the part of the client's time after which a request that surely wasn't taken is refused.
	certainShare = 0.45
	// inDoubtShare is the part after which a request whose outcome is unknown is given up.
	inDoubtShare = 0.85
	// maxWait bounds what a client may ask for.
	maxWait = 10 * time.Minute
	// minAbsoluteMs is the figure above which a deadline is a time of day in milliseconds since 1970.
	minAbsoluteMs = 1e11
)

// certainShareOf is the part of the client's time for which a request is worked on while it surely wasn't carried out: a job that isn't taken is
// refused while there is time to hand it in elsewhere.
func certainShareOf(method string) float64 {
	if method == http.MethodPost {
		return certainShare
	}
	return inDoubtShare
}

// deadlines is until when an answer is worked for.
type deadlines struct {
	// certain holds while it is certain that nothing was carried out, doubt once it isn't.
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

// clientWait reads the deadline header: milliseconds, a duration with its unit, or a time of day in milliseconds. ok is false
// when it says nothing of use.
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
