package control

import (
	"context"
	"time"

	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/workerapi"
)

const (
	listInterval = 900 * time.Millisecond
	listTimeout  = 4 * time.Second
	listRetryMin = 300 * time.Millisecond
	listRetryMax = 2 * time.Second
)

// platformList is the state of the head's requests for the platform's list of workers.
type platformList struct {
	request    *listRequest  // the request in flight; nil: none
	nextReadAt time.Duration // when the list is requested next
	failures   int           // consecutive failed requests
	// early was received at earlyAt, before this replica acted as the head. nil: none was.
	early   []workerapi.Instance
	earlyAt time.Duration
}

// listRequest is one request for the list, made for the given scheduler. scheduler is nil for a request made before the scheduler exists.
type listRequest struct{ scheduler *scheduler.Scheduler }

// due reports whether the list should be requested now.
func (p *platformList) due(now time.Duration) bool { return p.request == nil && now >= p.nextReadAt }

// dropStale abandons a request made for a scheduler that was dropped. It may take seconds to end, and its result must not count.
func (p *platformList) dropStale(acting *scheduler.Scheduler) {
	if p.request != nil && p.request.scheduler != nil && p.request.scheduler != acting {
		p.request = nil
	}
}

// readList requests the platform's list for the acting scheduler, or for the next one if there is none. Only the head, or a replica about
// to act as the head, may call it.
func (n *Node) readList() {
	reading := &listRequest{scheduler: n.scheduler}
	n.platform.request = reading
	address := n.settings.CloudProvider.Address
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
		defer cancel()
		instances, err := n.listClient.List(ctx, address)
		n.loop.post(func() { n.listReceived(reading, instances, err) })
	}()
}

// readListEarly requests the list while a new head still waits for its lease or applies committed entries.
func (n *Node) readListEarly() {
	n.platform.early = nil
	n.platform.dropStale(n.scheduler)
	if n.platform.request == nil && n.scheduler == nil {
		n.readList()
	}
}

// listReceived handles the result of a request. It ignores the result of a request made for a dropped scheduler.
func (n *Node) listReceived(reading *listRequest, instances []workerapi.Instance, err error) {
	if n.platform.dropStale(n.scheduler); n.platform.request != reading {
		return
	}
	n.platform.request = nil
	if err != nil {
		n.platform.failures++
		n.platform.nextReadAt = n.now() + min(listRetryMin<<min(n.platform.failures-1, 4), listRetryMax)
		n.listReadFailed(err)
		return
	}
	n.listReadSucceeded()
	if n.scheduler == nil {
		n.platform.early, n.platform.earlyAt = instances, n.now()
		return
	}
	n.deliverList(instances, n.now())
}

// useEarlyList passes a list received before the scheduler was created to it, unless the list is older than listInterval.
func (n *Node) useEarlyList() {
	n.platform.dropStale(n.scheduler)
	early := n.platform.early
	n.platform.early, n.platform.nextReadAt = nil, 0
	if early != nil && n.now()-n.platform.earlyAt < listInterval {
		n.deliverList(early, n.platform.earlyAt)
	}
}

// deliverList passes a list to the scheduler and schedules the next request.
func (n *Node) deliverList(instances []workerapi.Instance, at time.Duration) {
	n.platform.nextReadAt = at + listInterval
	n.scheduler.Listed(n.now(), instances)
}
