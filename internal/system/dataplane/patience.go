package dataplane

import (
	"net/http"
	"strconv"
	"time"
)

// deadlineHeader tells how long the client waits for its answer, in milliseconds.
const deadlineHeader = "X-Gaugeslip-Deadline"

const (
	// sureShare is the part of the client's time after which a request that surely wasn't taken is refused.
	sureShare = 0.45
	// doubtShare is the part after which a request whose outcome is unknown is given up.
	doubtShare = 0.85
	// mostWait bounds what a client may ask for.
	mostWait = 10 * time.Minute
	// leastAbsolute is the figure above which a deadline is a time of day in milliseconds since 1970.
	leastAbsolute = 1e11
)

// shareOf is the part of the client's time for which a request is worked on while it surely wasn't carried out: a job that isn't taken is
// refused while there is time to hand it in elsewhere.
func shareOf(method string) float64 {
	if method == http.MethodPost {
		return sureShare
	}
	return doubtShare
}

// patience is until when an answer is worked for.
type patience struct {
	// sure holds while it is certain that nothing was carried out, doubt once it isn't.
	sure, doubt time.Time
}

func newPatience(arrived time.Time, wait time.Duration, share float64) patience {
	return patience{
		sure:  arrived.Add(time.Duration(float64(wait) * share)),
		doubt: arrived.Add(time.Duration(float64(wait) * doubtShare)),
	}
}

func (p patience) until(inDoubt bool) time.Time {
	if inDoubt {
		return p.doubt
	}
	return p.sure
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
	figure, err := strconv.ParseFloat(text, 64)
	if err != nil || figure != figure {
		return 0, false
	}
	if figure >= leastAbsolute {
		figure -= float64(now.UnixMilli())
	}
	if figure > float64(mostWait/time.Millisecond) {
		return mostWait, true
	}
	return clampWait(time.Duration(figure * float64(time.Millisecond)))
}

func clampWait(wait time.Duration) (time.Duration, bool) {
	return min(wait, mostWait), wait > 0
}
