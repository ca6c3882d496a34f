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

// platformList is what the head keeps of its readings of the platform's list of workers.
type platformList struct {
	request    *listRequest  // the one that is out; nil: none is
	nextReadAt time.Duration // when it is read next
	failures   int           // in a row
	// early was read at earlyAt, before this replica acted as the head; nil: none was.
	early   []workerapi.Instance
	earlyAt time.Duration
}

// listRequest is one reading: for a scheduler that acts, or for the one that will, where it is nil.
type listRequest struct{ scheduler *scheduler.Scheduler }

// due tells whether the list is to be read now.
func (p *platformList) due(now time.Duration) bool { return p.request == nil && now >= p.nextReadAt }

// dropStale gives a reading up that was made for a scheduler which is gone: it may last for seconds yet, and doesn't count any more.
func (p *platformList) dropStale(acting *scheduler.Scheduler) {
	if p.request != nil && p.request.scheduler != nil && p.request.scheduler != acting {
		p.request = nil
	}
}

// readList reads the platform's list for the scheduler that acts, or for the one that will: only the head does, or who is about to be.
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

// readListEarly reads the list while a new head still waits for its lease or applies what was committed.
func (n *Node) readListEarly() {
	n.platform.early = nil
	n.platform.dropStale(n.scheduler)
	if n.platform.request == nil && n.scheduler == nil {
		n.readList()
	}
}

// listReceived takes in a reading; one that was made for a scheduler that is gone doesn't count.
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

// useEarlyList gives a new scheduler what was read before it was made, if that is no older than a reading may be.
func (n *Node) useEarlyList() {
	n.platform.dropStale(n.scheduler)
	early := n.platform.early
	n.platform.early, n.platform.nextReadAt = nil, 0
	if early != nil && n.now()-n.platform.earlyAt < listInterval {
		n.deliverList(early, n.platform.earlyAt)
	}
}

// deliverList gives the scheduler a reading.
func (n *Node) deliverList(instances []workerapi.Instance, at time.Duration) {
	n.platform.nextReadAt = at + listInterval
	n.scheduler.Listed(n.now(), instances)
}
