package scheduler

import "time"

// These constants limit the starts in flight: uncommitted intents and unanswered starts. After a power loss, a thousand tasks may have to start
// at once. If all were sent at once, their answers would come too late and the starts would be resent, and the most urgent ones would wait
// behind all others for the head's processor.
const (
	minStartsInFlight     = 64 // the largest gang
	initialStartsInFlight = 128
	maxStartsInFlight     = 512
	// windowCutDivisor sets by what fraction slow answers reduce the window.
	windowCutDivisor = 4
)

// startLimiter limits the starts in flight by how promptly they are answered.
type startLimiter struct {
	proposed int // intents that are proposed and not committed
	sent     int // sendings of starts that are not answered yet
	window   int
	cutAt    time.Duration
}

// atLimit reports whether no more starts should be added to those in flight.
func (p *startLimiter) atLimit() bool { return p.proposed+p.sent >= max(p.window, minStartsInFlight) }

// addProposed counts a proposed intent.
func (p *startLimiter) addProposed() { p.proposed++ }

// removeProposed counts an intent that came back from the chain.
func (p *startLimiter) removeProposed() { p.proposed = max(p.proposed-1, 0) }

// addSent counts a sending of a start.
func (p *startLimiter) addSent() { p.sent++ }

// removeSent counts a sending that was answered or timed out.
func (p *startLimiter) removeSent() { p.sent = max(p.sent-1, 0) }

// adapt changes the window after an answer: prompt answers widen it, slow ones narrow it, at most once per mean answer time.
func (p *startLimiter) adapt(now time.Duration, answers *callLatency) {
	switch {
	case !answers.slow():
		p.window = min(p.window+1, maxStartsInFlight)
	case now-p.cutAt >= answers.mean:
		p.window = max(p.window-p.window/windowCutDivisor, minStartsInFlight)
		p.cutAt = now
	}
}
