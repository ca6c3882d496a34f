package scheduler

import "time"

// The bounds of the starts under way: intents that aren't committed, and orders without an answer. After a loss of power there are a thousand
// tasks to start at once; ordered all at once their answers come too late, so that they are ordered again, and the most urgent ones wait
// behind all others for the head's processor.
const (
	minStartsInFlight     = 64 // a gang's
	initialStartsInFlight = 128
	maxStartsInFlight     = 512
	// windowCutDivisor is the part of the window that slow answers take away.
	windowCutDivisor = 4
)

// startLimiter bounds the starts under way by how promptly they are answered.
type startLimiter struct {
	proposed int // intents on their way through the chain
	sent     int // sendings of starts without an answer so far
	window   int
	cutAt    time.Duration
}

// atLimit tells whether no start should be added to those that are under way.
func (p *startLimiter) atLimit() bool { return p.proposed+p.sent >= max(p.window, minStartsInFlight) }

// addProposed takes note of one more intent.
func (p *startLimiter) addProposed() { p.proposed++ }

// removeProposed takes note that the fate of an intent is known.
func (p *startLimiter) removeProposed() { p.proposed = max(p.proposed-1, 0) }

// addSent takes note of one more order.
func (p *startLimiter) addSent() { p.sent++ }

// removeSent takes note that an order was answered or given up.
func (p *startLimiter) removeSent() { p.sent = max(p.sent-1, 0) }

// adapt adapts the window: prompt answers widen it, slow ones narrow it, once in the time of an answer.
func (p *startLimiter) adapt(now time.Duration, answers *callLatency) {
	switch {
	case !answers.slow():
		p.window = min(p.window+1, maxStartsInFlight)
	case now-p.cutAt >= answers.mean:
		p.window = max(p.window-p.window/windowCutDivisor, minStartsInFlight)
		p.cutAt = now
	}
}
