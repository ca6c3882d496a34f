package dispatch

import (
	"slices"
	"strings"
	"time"

	"gaugeslip/policy"
)

// SetCordon takes a host out by hand (Out), or puts it back. It is answered by one Handed.
type SetCordon struct {
	Request  uint64
	Name     string
	Cordoned bool
}

// CordonSet is the whole set of hosts that are out by hand, as it was kept outside the process: at a start, and when
// another process of the same dispatcher has changed it.
type CordonSet struct{ Names []string }

// CordonResult answers a Hand. Known: a host of that name is on the list or out by hand; else nothing was changed.
type CordonResult struct {
	Request uint64
	Known   bool
}

func (SetCordon) message()    {}
func (CordonSet) message()    {}
func (CordonResult) command() {}

// What is out by hand is an input to the module like the list: a host that is out is told to the module as one that
// drains, whatever the list says of it, and one that comes back is told as one that has just started, since it was
// restarted meanwhile. What the module does with either stays its own decision.

// hand takes a host out or puts it back, and tells the module where that changes what it sees.
func (c *Core) hand(now time.Duration, name string, out bool) {
	if c.isOut(name) == out {
		return
	}
	if out {
		c.hands[name] = struct{}{}
	} else {
		delete(c.hands, name)
		c.back[name] = now
	}
	id := WorkerID(name)
	h, listed := c.hosts[id]
	if !listed || h.Name != name {
		return
	}
	c.events = append(c.events, policy.Event{Kind: policy.WorkerList, Workers: []policy.Worker{c.worker(h)}})
	c.unsend()
}

// isOut tells whether a host is out by hand.
func (c *Core) isOut(name string) bool {
	_, out := c.hands[name]
	return out
}

// knows tells whether a name is that of a listed host or of one that is out by hand.
func (c *Core) knows(name string) bool {
	h, listed := c.hosts[WorkerID(name)]
	return listed && h.Name == name || c.isOut(name)
}

// handSet makes the set of hosts out by hand that one.
func (c *Core) handSet(now time.Duration, names []string) {
	for name := range c.hands {
		if !slices.Contains(names, name) {
			c.hand(now, name, false)
		}
	}
	for _, name := range names {
		c.hand(now, name, true)
	}
}

// worker is what the module is told of a listed host: its entry, changed by what was done by hand.
func (c *Core) worker(h Host) policy.Worker {
	w := policy.Worker{ID: WorkerID(h.Name), Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, State: h.State,
		Scale: h.Scale, Since: h.StartedAt}
	if c.isOut(h.Name) && w.State == policy.Ready {
		w.State = policy.Draining
	}
	if back, ok := c.back[h.Name]; ok && back > w.Since {
		w.Since = back // restarted while it was out, whether the list has heard of that or not
	}
	return w
}

// Cordoned lists the hosts that are out by hand, by name.
func (c *Core) Cordoned() []string {
	names := make([]string, 0, len(c.hands))
	for name := range c.hands {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// Workers counts the listed hosts and those of them that this dispatcher keeps away from, by hand or by the
// module's own judgement.
func (c *Core) Workers() (known, excluded int) {
	for id, h := range c.hosts {
		known++
		if c.isOut(h.Name) || c.d.Suspect(id) {
			excluded++
		}
	}
	return known, excluded
}
