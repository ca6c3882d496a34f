package dispatch

import (
	"slices"
	"strings"
	"time"

	"gaugeslip/policy"
)

// SetCordon takes a host out of service on an operator's request (Cordoned), or puts it back. The answer is one CordonResult.
type SetCordon struct {
	Request  uint64
	Name     string
	Cordoned bool
}

// CordonSet is the full set of hosts out of service, as stored outside the process. It is sent at the start, and when another process
// of the same dispatcher has changed it.
type CordonSet struct{ Names []string }

// CordonResult answers a SetCordon. Known reports that the host is listed or out of service; if it is false, nothing was changed.
type CordonResult struct {
	Request uint64
	Known   bool
}

func (SetCordon) message()    {}
func (CordonSet) message()    {}
func (CordonResult) command() {}

// A host that an operator has taken out of service is reported to the module as draining, whatever the list says of it. A host that is
// put back is reported as just started, since it was restarted meanwhile. How to treat such hosts is the module's decision.

// setCordoned takes a host out of service or puts it back, and informs the module if the host is listed.
func (c *Core) setCordoned(now time.Duration, name string, cordoned bool) {
	if c.isCordoned(name) == cordoned {
		return
	}
	if cordoned {
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

// isCordoned reports whether an operator has taken a host out of service.
func (c *Core) isCordoned(name string) bool {
	_, cordoned := c.cordoned[name]
	return cordoned
}

// knowsHost reports whether a host is listed or out of service.
func (c *Core) knowsHost(name string) bool {
	h, listed := c.hosts[WorkerID(name)]
	return listed && h.Name == name || c.isCordoned(name)
}

// replaceCordoned replaces the set of hosts out of service.
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

// moduleWorker returns a listed host as the module sees it: the entry of the list, overridden by what operators have set.
func (c *Core) moduleWorker(h Host) policy.Worker {
	w := policy.Worker{ID: WorkerID(h.Name), Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, State: h.State,
		Scale: h.Scale, Since: h.StartedAt}
	if c.isCordoned(h.Name) && w.State == policy.Ready {
		w.State = policy.Draining
	}
	if back, ok := c.uncordonedAt[h.Name]; ok && back > w.Since {
		w.Since = back // the host was restarted while out of service, even if the list does not say so yet
	}
	return w
}

// Cordoned returns the names of the hosts that an operator has taken out of service, sorted.
func (c *Core) Cordoned() []string {
	names := make([]string, 0, len(c.cordoned))
	for name := range c.cordoned {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// Workers returns the number of listed hosts, and of those that this dispatcher avoids, because an operator has taken them out of
// service or because the module suspects them.
func (c *Core) Workers() (known, excluded int) {
	for id, h := range c.hosts {
		known++
		if c.isCordoned(h.Name) || c.module.Suspect(id) {
			excluded++
		}
	}
	return known, excluded
}
