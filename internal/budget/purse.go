package budget

import (
	"math"
	"time"
)

// TokenBucket is a member's part of a budget that is a rate: a bucket that fills with the share's part of so many tokens a second. It is
// empty at the start, and what a share gains comes empty, so that no token is there twice.
//
// Over all members and any window, the uses are at most PerSecond x window + Burst + the number of members: each bucket holds the
// share's part of Burst, but one token at least, or a small share could never pay for anything.
type TokenBucket struct {
	PerSecond float64
	Burst     float64 // tokens that all buckets hold together

	level float64
	at    time.Duration // up to when the bucket is filled
	share Share
	began bool
}

// part is what so many units are of an amount.
func part(u Units, of float64) float64 { return of * float64(u) / float64(Whole) }

// SetShare changes the share at a time.
func (r *TokenBucket) SetShare(now time.Duration, s Share) {
	r.fill(now)
	r.share = s
	r.cap(s.At(now))
}

func (r *TokenBucket) cap(u Units) { r.level = min(r.level, max(1, part(u, r.Burst))) }

// fill lets time pass. A share that has lapsed meanwhile filled the bucket up to its end only.
func (r *TokenBucket) fill(now time.Duration) {
	if !r.began {
		r.began, r.at = true, now
	}
	if until := r.share.Until; r.at < until && until <= now {
		r.pour(until, r.share.Floor+r.share.Extra)
	}
	r.pour(now, r.share.At(now))
}

func (r *TokenBucket) pour(to time.Duration, u Units) {
	if to > r.at {
		r.level += part(u, r.PerSecond) * (to - r.at).Seconds()
		r.at = to
	}
	r.cap(u)
}

// Take uses n tokens at a time, or none: false.
func (r *TokenBucket) Take(now time.Duration, n float64) bool {
	if r.fill(now); r.level < n || r.share.At(now) <= 0 {
		return false
	}
	r.level -= n
	return true
}

// TimeUntil is how long it takes until n tokens are there, if the share stays and nobody takes any; negative: they never are.
func (r *TokenBucket) TimeUntil(now time.Duration, n float64) time.Duration {
	r.fill(now)
	u := r.share.At(now)
	rate := part(u, r.PerSecond)
	if rate <= 0 || n > max(1, part(u, r.Burst)) {
		return -1
	}
	return time.Duration(max(0, n-r.level) / rate * 1e9)
}

// SlidingWindow is a member's part of a budget that is a sum over a window: at most Most uses within any stretch of Length. A share
// counts from a window after it has come, since whoever had it before may have used it up until then; so does the whole share of
// a process that has just started. Over all members the uses in any window are at most Most, without a burst.
type SlidingWindow struct {
	Max    float64
	Length time.Duration

	share Share
	ripe  []ripening // units by when they count, in order of time
	owned Units      // that count now
	used  []use
	sum   float64
}

type ripening struct {
	at    time.Duration
	units Units
}

type use struct {
	at time.Duration
	n  float64
}

// SetShare changes the share at a time. What is lost goes at once, and first from what does not count yet.
func (w *SlidingWindow) SetShare(now time.Duration, s Share) {
	w.lapse(now)
	w.share = s
	w.follow(now, s.At(now))
}

// lapse lets time pass.
func (w *SlidingWindow) lapse(now time.Duration) {
	w.follow(now, w.share.At(now))
	for len(w.ripe) > 0 && w.ripe[0].at <= now {
		w.owned += w.ripe[0].units
		w.ripe = w.ripe[1:]
	}
	for len(w.used) > 0 && w.used[0].at <= now-w.Length {
		w.sum -= w.used[0].n
		w.used = w.used[1:]
	}
}

// follow makes what is owned, ripe or not, come to u units.
func (w *SlidingWindow) follow(now time.Duration, u Units) {
	total := w.owned
	for _, r := range w.ripe {
		total += r.units
	}
	if u > total {
		w.ripe = append(w.ripe, ripening{now + w.Length + w.Length/32, u - total}) // a little more, for clocks that differ
	}
	for lost := total - u; lost > 0; {
		if n := len(w.ripe); n > 0 {
			x := min(lost, w.ripe[n-1].units)
			if w.ripe[n-1].units -= x; w.ripe[n-1].units == 0 {
				w.ripe = w.ripe[:n-1]
			}
			lost -= x
		} else {
			w.owned -= lost
			lost = 0
		}
	}
}

// Take uses n at a time, or none: false.
func (w *SlidingWindow) Take(now time.Duration, n float64) bool {
	if w.lapse(now); w.sum+n > part(w.owned, w.Max)+1e-9 {
		return false
	}
	w.used, w.sum = append(w.used, use{now, n}), w.sum+n
	return true
}

// ConcurrencyLimit is a member's part of a budget that is a number held at once: at most Most, over all members. What a share gains counts
// after Longest, the longest that whoever had it before may take to let go of what it holds; so does the share of a process that has
// just started. Who loses a share has as long to let go of what is Over: until then the sum is kept by the wait of who gained it.
type ConcurrencyLimit struct {
	Max         float64
	ReleaseTime time.Duration

	own  SlidingWindow // of length Longest, with no uses: it lets units ripen
	held int
}

// SetShare changes the share at a time.
func (h *ConcurrencyLimit) SetShare(now time.Duration, s Share) {
	h.own.Length = h.ReleaseTime
	h.own.SetShare(now, s)
}

// allowed is the number that may be held.
func (h *ConcurrencyLimit) allowed(now time.Duration) int {
	h.own.Length = h.ReleaseTime
	h.own.lapse(now)
	return int(math.Floor(part(h.own.owned, h.Max) + 1e-9))
}

// Take holds one more; false: there is no room.
func (h *ConcurrencyLimit) Take(now time.Duration) bool {
	if h.held >= h.allowed(now) {
		return false
	}
	h.held++
	return true
}

// Release lets go of one.
func (h *ConcurrencyLimit) Release() { h.held = max(0, h.held-1) }

// Excess is how many are held beyond the share, to be let go of within Longest of the loss.
func (h *ConcurrencyLimit) Excess(now time.Duration) int { return max(0, h.held-h.allowed(now)) }
