package simnet

import (
	"sync"
	"time"
)

// deadline is when calls of one direction end; the zero time is never.
type deadline struct {
	at   time.Time
	wake *time.Timer
}

// set has those that wait on the condition look again when the time has come.
func (d *deadline) set(t time.Time, n *Network, waiting *sync.Cond) {
	d.at = t
	if d.wake != nil {
		d.wake.Stop()
		d.wake = nil
	}
	if left := time.Until(t); !t.IsZero() && left > 0 {
		d.wake = time.AfterFunc(left, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			waiting.Broadcast()
		})
	}
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }
