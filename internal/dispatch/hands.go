package dispatch

import (
	"slices"
	"strings"
	"time"

	"gaugeslip/policy"
)

// Hand takes a host out by hand (Out), or puts it back. It is answered by one Handed.
type Hand struct {
	Ask  uint64
	Name string
	Out  bool
}

// HandSet is the whole set of hosts that are out by hand, as it was kept outside the process: at a start, and when
// another process of the same dispatcher has changed it.
type HandSet struct{ Names []string }

// Handed answers a Hand. Known: a host of that name is on the list or out by hand; else nothing was changed.
type Handed struct {
	Ask   uint64
	Known bool
}

func (Hand) message()    {}
func (HandSet) message() {}
func (Handed) command()  {}

// What is out by hand is an input to the module like the list: a host that is out is told to the module as one that
// drains, whatever the list says of it, and one that comes back is told as one that has just started, since it was
// restarted meanwhile. What the module does with either stays its own decision.

// setCordoned takes a host out or puts it back, and tells the module where that changes what it sees.
func (c *Core) setCordoned(now time.Duration, name string, out bool) {
	if c.isCordoned(name) == out {
		return
	}
	if out {
		c.cordoned[name] = struct{}{}
	} else {
		delete(c.cordoned, name)
		c.uncordonedAt[name] = now
	}
	id := WorkerID(name)
	h, listed := c.hosts[id]
	if !listed || h.Name != name {
		return
	}
	c.events = append(c.events, policy.Event{Kind: policy.WorkerList, Workers: []policy.Worker{c.moduleWorker(h)}})
	c.cancelUnsent()
}

// isCordoned tells whether a host is out by hand.
func (c *Core) isCordoned(name string) bool {
	_, out := c.cordoned[name]
	return out
}

// knowsHost tells whether a name is that of a listed host or of one that is out by hand.
func (c *Core) knowsHost(name string) bool {
	h, listed := c.hosts[WorkerID(name)]
	return listed && h.Name == name || c.isCordoned(name)
}

// replaceCordoned makes the set of hosts out by hand that one.
func (c *Core) replaceCordoned(now time.Duration, names []string) {
	for name := range c.cordoned {
		if !slices.Contains(names, name) {
			c.setCordoned(now, name, false)
		}
	}
	for _, name := range names {
		c.setCordoned(now, name, true)
	}
}

// moduleWorker is what the module is told of a listed host: its entry, changed by what was done by hand.
func (c *Core) moduleWorker(h Host) policy.Worker {
	w := policy.Worker{ID: WorkerID(h.Name), Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, State: h.State,
		Scale: h.Scale, Since: h.Born}
	if c.isCordoned(h.Name) && w.State == policy.Ready {
		w.State = policy.Draining
	}
	if back, ok := c.uncordonedAt[h.Name]; ok && back > w.Since {
		w.Since = back // restarted while it was out, whether the list has heard of that or not
	}
	return w
}

// Hands lists the hosts that are out by hand, by name.
func (c *Core) Hands() []string {
	names := make([]string, 0, len(c.cordoned))
	for name := range c.cordoned {
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
		if c.isCordoned(h.Name) || c.module.Suspect(id) {
			excluded++
		}
	}
	return known, excluded
}
