package scheduler

import "time"

// The bounds of the starts under way: intents that aren't committed, and orders without an answer. After a loss of power there are a thousand
// tasks to start at once; ordered all at once their answers come too late, so that they are ordered again, and the most urgent ones wait
// behind all others for the head's processor.
const (
	leastStarts = 64 // a gang's
	firstStarts = 128
	mostStarts  = 512
	// startsCutPart is the part of the window that slow answers take away.
	startsCutPart = 4
)

// startPace bounds the starts under way by how promptly they are answered.
type startPace struct {
	proposed int // intents on their way through the chain
	sent     int // sendings of starts without an answer so far
	window   int
	cutAt    time.Duration
}

// full tells whether no start should be added to those that are under way.
func (p *startPace) full() bool { return p.proposed+p.sent >= max(p.window, leastStarts) }

// proposing takes note of one more intent.
func (p *startPace) proposing() { p.proposed++ }

// committed takes note that the fate of an intent is known.
func (p *startPace) committed() { p.proposed = max(p.proposed-1, 0) }

// sending takes note of one more order.
func (p *startPace) sending() { p.sent++ }

// ended takes note that an order was answered or given up.
func (p *startPace) ended() { p.sent = max(p.sent-1, 0) }

// answered adapts the window: prompt answers widen it, slow ones narrow it, once in the time of an answer.
func (p *startPace) answered(now time.Duration, answers *answerTimes) {
	switch {
	case !answers.slow():
		p.window = min(p.window+1, mostStarts)
	case now-p.cutAt >= answers.mean:
		p.window = max(p.window-p.window/startsCutPart, leastStarts)
		p.cutAt = now
	}
}
