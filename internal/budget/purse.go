package budget

import (
	"math"
	"time"
)

// TokenBucket enforces a member's share of a rate budget. The bucket fills with the share's part of PerSecond. It is empty at the
// start, and a gained share adds no tokens, so that no token exists twice.
//
// Over all members and any window, the uses are at most PerSecond x window + Burst + the number of members. Each bucket holds the
// share's part of Burst, but at least one token, since a small share could otherwise never be used.
type TokenBucket struct {
	PerSecond float64
	Burst     float64 // tokens that all buckets hold together

	tokens   float64
	filledTo time.Duration // the bucket is filled up to this time
	share    Share
	started  bool
}

// scaled returns the part of an amount that corresponds to a number of units.
func scaled(u Units, of float64) float64 { return of * float64(u) / float64(Whole) }

// SetShare changes the share at a time.
func (r *TokenBucket) SetShare(now time.Duration, s Share) {
	r.refill(now)
	r.share = s
	r.clamp(s.At(now))
}

func (r *TokenBucket) clamp(u Units) { r.tokens = min(r.tokens, max(1, scaled(u, r.Burst))) }

// refill adds the tokens up to a time. A share that has expired meanwhile counts only until its end.
func (r *TokenBucket) refill(now time.Duration) {
	if !r.started {
		r.started, r.filledTo = true, now
	}
	if until := r.share.Until; r.filledTo < until && until <= now {
		r.accrue(until, r.share.Floor+r.share.Extra)
	}
	r.accrue(now, r.share.At(now))
}

func (r *TokenBucket) accrue(to time.Duration, u Units) {
	if to > r.filledTo {
		r.tokens += scaled(u, r.PerSecond) * (to - r.filledTo).Seconds()
		r.filledTo = to
	}
	r.clamp(u)
}

// Take uses n tokens at a time. If there are fewer, it uses none and returns false.
func (r *TokenBucket) Take(now time.Duration, n float64) bool {
	if r.refill(now); r.tokens < n || r.share.At(now) <= 0 {
		return false
	}
	r.tokens -= n
	return true
}

// TimeUntil returns the time until n tokens are available if the share stays and none are used; negative if they never are.
func (r *TokenBucket) TimeUntil(now time.Duration, n float64) time.Duration {
	r.refill(now)
	u := r.share.At(now)
	rate := scaled(u, r.PerSecond)
	if rate <= 0 || n > max(1, scaled(u, r.Burst)) {
		return -1
	}
	return time.Duration(max(0, n-r.tokens) / rate * 1e9)
}

// SlidingWindow enforces a member's share of a budget per window: at most Max uses within any interval of Length. A gained share takes
// effect a window later, since the previous holder may have used it up until now. The same holds for the whole share of a process that
// has just started. Over all members the uses in any window are at most Max, without a burst.
type SlidingWindow struct {
	Max    float64
	Length time.Duration

	share     Share
	pending   []pendingUnits // gained units that do not count yet, in order of time
	effective Units          // units that count now
	uses      []use
	sum       float64
}

type pendingUnits struct {
	at    time.Duration
	units Units
}

type use struct {
	at time.Duration
	n  float64
}

// SetShare changes the share at a time. A loss takes effect at once, first on units that do not count yet.
func (w *SlidingWindow) SetShare(now time.Duration, s Share) {
	w.advance(now)
	w.share = s
	w.adjust(now, s.At(now))
}

// advance moves the window to a time.
func (w *SlidingWindow) advance(now time.Duration) {
	w.adjust(now, w.share.At(now))
	for len(w.pending) > 0 && w.pending[0].at <= now {
		w.effective += w.pending[0].units
		w.pending = w.pending[1:]
	}
	for len(w.uses) > 0 && w.uses[0].at <= now-w.Length {
		w.sum -= w.uses[0].n
		w.uses = w.uses[1:]
	}
}

// adjust changes the sum of effective and pending units to u.
func (w *SlidingWindow) adjust(now time.Duration, u Units) {
	total := w.effective
	for _, r := range w.pending {
		total += r.units
	}
	if u > total {
		w.pending = append(w.pending, pendingUnits{now + w.Length + w.Length/32, u - total}) // a little more, for differing clocks
	}
	for lost := total - u; lost > 0; {
		if n := len(w.pending); n > 0 {
			x := min(lost, w.pending[n-1].units)
			if w.pending[n-1].units -= x; w.pending[n-1].units == 0 {
				w.pending = w.pending[:n-1]
			}
			lost -= x
		} else {
			w.effective -= lost
			lost = 0
		}
	}
}

// Take records n uses at a time. If they exceed the share, it records none and returns false.
func (w *SlidingWindow) Take(now time.Duration, n float64) bool {
	if w.advance(now); w.sum+n > scaled(w.effective, w.Max)+1e-9 {
		return false
	}
	w.uses, w.sum = append(w.uses, use{now, n}), w.sum+n
	return true
}

// ConcurrencyLimit enforces a member's share of a number that may be held at once: at most Max, over all members. A gained share takes
// effect after ReleaseTime, the longest that the previous holder may take to release what it holds. The same holds for the share of a
// process that has just started. A member that loses a share must release its Excess within that time. Until then the wait of the
// member that gained the share keeps the sum.
type ConcurrencyLimit struct {
	Max         float64
	ReleaseTime time.Duration

	window SlidingWindow // of length ReleaseTime and without uses: it delays gained units
	held   int
}

// SetShare changes the share at a time.
func (h *ConcurrencyLimit) SetShare(now time.Duration, s Share) {
	h.window.Length = h.ReleaseTime
	h.window.SetShare(now, s)
}

// allowed returns the number that may be held.
func (h *ConcurrencyLimit) allowed(now time.Duration) int {
	h.window.Length = h.ReleaseTime
	h.window.advance(now)
	return int(math.Floor(scaled(h.window.effective, h.Max) + 1e-9))
}

// Take acquires one more, or returns false if the limit is reached.
func (h *ConcurrencyLimit) Take(now time.Duration) bool {
	if h.held >= h.allowed(now) {
		return false
	}
	h.held++
	return true
}

// Release releases one.
func (h *ConcurrencyLimit) Release() { h.held = max(0, h.held-1) }

// Excess returns how many are held beyond the share. They must be released within ReleaseTime of the loss.
func (h *ConcurrencyLimit) Excess(now time.Duration) int { return max(0, h.held-h.allowed(now)) }
