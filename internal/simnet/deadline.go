package simnet

import (
	"sync"
	"time"
)

// deadline is the time at which waiting calls time out; with the zero time they never do.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// set changes the deadline to t. When t passes, it wakes the calls that wait on the condition, so that they check the deadline.
func (d *deadline) set(t time.Time, n *Network, waiting *sync.Cond) {
	d.at = t
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if left := time.Until(t); !t.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			waiting.Broadcast()
		})
	}
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }
