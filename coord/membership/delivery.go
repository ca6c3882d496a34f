package membership

import (
	"sync"

	"gaugeslip/coord/gossip"
)

// deliveries passes values to subscribers sequentially, in the order in which they were queued, regardless of the goroutine that learned
// them. No subscriber therefore receives an older version after a newer one.
type deliveries struct {
	mu          sync.Mutex
	subscribers []func(gossip.Value)
	pending     []delivery
	// running means that a goroutine is delivering. It also delivers the values that others queue meanwhile.
	running bool
}

type delivery struct {
	subscriber func(gossip.Value)
	value      gossip.Value
}

// subscribe adds a subscriber and queues the current values for it.
func (d *deliveries) subscribe(subscriber func(gossip.Value), current []gossip.Value) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, subscriber)
	for _, value := range current {
		d.pending = append(d.pending, delivery{subscriber: subscriber, value: value})
	}
}

// queue queues values for all subscribers.
func (d *deliveries) queue(values []gossip.Value) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, value := range values {
		for _, subscriber := range d.subscribers {
			d.pending = append(d.pending, delivery{subscriber: subscriber, value: value})
		}
	}
}

// run delivers the pending values, unless another goroutine is already doing so.
func (d *deliveries) run() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running {
		return
	}
	d.running = true
	for len(d.pending) > 0 {
		batch := d.pending
		d.pending = nil
		d.mu.Unlock()
		for _, each := range batch {
			each.subscriber(each.value)
		}
		d.mu.Lock()
	}
	d.running = false
}
