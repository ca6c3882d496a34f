package membership

import (
	"sync"

	"gaugeslip/coord/gossip"
)

// deliveries hands values to subscribers one after the other, in the order in which they were queued, whichever goroutines learn
// them, so that no subscriber sees a version go back.
type deliveries struct {
	mu          sync.Mutex
	subscribers []func(gossip.Value)
	waiting     []delivery
	// running tells that some goroutine is handing out; it takes what others queue meanwhile.
	running bool
}

type delivery struct {
	to    func(gossip.Value)
	value gossip.Value
}

// subscribe adds a subscriber and queues for it the values that are there.
func (d *deliveries) subscribe(to func(gossip.Value), present []gossip.Value) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, to)
	for _, value := range present {
		d.waiting = append(d.waiting, delivery{to: to, value: value})
	}
}

// queue queues values for all subscribers.
func (d *deliveries) queue(values []gossip.Value) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, value := range values {
		for _, to := range d.subscribers {
			d.waiting = append(d.waiting, delivery{to: to, value: value})
		}
	}
}

// run hands out what waits, unless another goroutine does so already.
func (d *deliveries) run() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running {
		return
	}
	d.running = true
	for len(d.waiting) > 0 {
		batch := d.waiting
		d.waiting = nil
		d.mu.Unlock()
		for _, each := range batch {
			each.to(each.value)
		}
		d.mu.Lock()
	}
	d.running = false
}
