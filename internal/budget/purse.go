package budget

import (
	"math"
	"time"
)

// Rate is a member's part of a budget that is a rate: a bucket that fills with the share's part of so many tokens a second. It is
// empty at the start, and what a share gains comes empty, so that no token is there twice.
//
// Over all members and any window, the uses are at most PerSecond x window + Burst + the number of members: each bucket holds the
// share's part of Burst, but one token at least, or a small share could never pay for anything.
type Rate struct {
	PerSecond float64
	Burst     float64 // tokens that all buckets hold together

	tokens   float64
	filledTo time.Duration // up to when the bucket is filled
	share    Share
	started  bool
}

// scaled is what so many units are of an amount.
func scaled(u Units, of float64) float64 { return of * float64(u) / float64(Whole) }

// Own changes the share at a time.
func (r *Rate) Own(now time.Duration, s Share) {
	r.refill(now)
	r.share = s
	r.clamp(s.At(now))
}

func (r *Rate) clamp(u Units) { r.tokens = min(r.tokens, max(1, scaled(u, r.Burst))) }

// refill lets time pass. A share that has lapsed meanwhile filled the bucket up to its end only.
func (r *Rate) refill(now time.Duration) {
	if !r.started {
		r.started, r.filledTo = true, now
	}
	if until := r.share.Until; r.filledTo < until && until <= now {
		r.accrue(until, r.share.Floor+r.share.More)
	}
	r.accrue(now, r.share.At(now))
}

func (r *Rate) accrue(to time.Duration, u Units) {
	if to > r.filledTo {
		r.tokens += scaled(u, r.PerSecond) * (to - r.filledTo).Seconds()
		r.filledTo = to
	}
	r.clamp(u)
}

// Take uses n tokens at a time, or none: false.
func (r *Rate) Take(now time.Duration, n float64) bool {
	if r.refill(now); r.tokens < n || r.share.At(now) <= 0 {
		return false
	}
	r.tokens -= n
	return true
}

// In is how long it takes until n tokens are there, if the share stays and nobody takes any; negative: they never are.
func (r *Rate) In(now time.Duration, n float64) time.Duration {
	r.refill(now)
	u := r.share.At(now)
	rate := scaled(u, r.PerSecond)
	if rate <= 0 || n > max(1, scaled(u, r.Burst)) {
		return -1
	}
	return time.Duration(max(0, n-r.tokens) / rate * 1e9)
}

// Window is a member's part of a budget that is a sum over a window: at most Most uses within any stretch of Length. A share
// counts from a window after it has come, since whoever had it before may have used it up until then; so does the whole share of
// a process that has just started. Over all members the uses in any window are at most Most, without a burst.
type Window struct {
	Most   float64
	Length time.Duration

	share     Share
	pending   []pendingUnits // units by when they count, in order of time
	effective Units          // that count now
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

// Own changes the share at a time. What is lost goes at once, and first from what does not count yet.
func (w *Window) Own(now time.Duration, s Share) {
	w.advance(now)
	w.share = s
	w.adjust(now, s.At(now))
}

// advance lets time pass.
func (w *Window) advance(now time.Duration) {
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

// adjust makes what is owned, ripe or not, come to u units.
func (w *Window) adjust(now time.Duration, u Units) {
	total := w.effective
	for _, r := range w.pending {
		total += r.units
	}
	if u > total {
		w.pending = append(w.pending, pendingUnits{now + w.Length + w.Length/32, u - total}) // a little more, for clocks that differ
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

// Take uses n at a time, or none: false.
func (w *Window) Take(now time.Duration, n float64) bool {
	if w.advance(now); w.sum+n > scaled(w.effective, w.Most)+1e-9 {
		return false
	}
	w.uses, w.sum = append(w.uses, use{now, n}), w.sum+n
	return true
}

// Held is a member's part of a budget that is a number held at once: at most Most, over all members. What a share gains counts
// after Longest, the longest that whoever had it before may take to let go of what it holds; so does the share of a process that has
// just started. Who loses a share has as long to let go of what is Over: until then the sum is kept by the wait of who gained it.
type Held struct {
	Most    float64
	Longest time.Duration

	window Window // of length Longest, with no uses: it lets units ripen
	held   int
}

// Own changes the share at a time.
func (h *Held) Own(now time.Duration, s Share) {
	h.window.Length = h.Longest
	h.window.Own(now, s)
}

// allowed is the number that may be held.
func (h *Held) allowed(now time.Duration) int {
	h.window.Length = h.Longest
	h.window.advance(now)
	return int(math.Floor(scaled(h.window.effective, h.Most) + 1e-9))
}

// Take holds one more; false: there is no room.
func (h *Held) Take(now time.Duration) bool {
	if h.held >= h.allowed(now) {
		return false
	}
	h.held++
	return true
}

// Drop lets go of one.
func (h *Held) Drop() { h.held = max(0, h.held-1) }

// Over is how many are held beyond the share, to be let go of within Longest of the loss.
func (h *Held) Over(now time.Duration) int { return max(0, h.held-h.allowed(now)) }
