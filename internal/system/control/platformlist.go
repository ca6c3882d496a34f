package control

import (
	"context"
	"time"

	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/workerapi"
)

const (
	listEvery      = 900 * time.Millisecond
	listTimeout    = 4 * time.Second
	listRetryFirst = 300 * time.Millisecond
	listRetryMost  = 2 * time.Second
)

// platformList is what the head keeps of its readings of the platform's list of workers.
type platformList struct {
	reading  *listReading  // the one that is out; nil: none is
	readAt   time.Duration // when it is read next
	failures int           // in a row
	// early was read at earlyAt, before this replica acted as the head; nil: none was.
	early   []workerapi.Instance
	earlyAt time.Duration
}

// listReading is one reading: for a scheduler that acts, or for the one that will, where it is nil.
type listReading struct{ of *scheduler.Scheduler }

// due tells whether the list is to be read now.
func (p *platformList) due(now time.Duration) bool { return p.reading == nil && now >= p.readAt }

// abandon gives a reading up that was made for a scheduler which is gone: it may last for seconds yet, and doesn't count any more.
func (p *platformList) abandon(acting *scheduler.Scheduler) {
	if p.reading != nil && p.reading.of != nil && p.reading.of != acting {
		p.reading = nil
	}
}

// readList reads the platform's list for the scheduler that acts, or for the one that will: only the head does, or who is about to be.
func (n *Node) readList() {
	reading := &listReading{of: n.scheduler}
	n.platform.reading = reading
	address := n.settings.CloudProvider.Address
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
		defer cancel()
		instances, err := n.list.List(ctx, address)
		n.loop.post(func() { n.listed(reading, instances, err) })
	}()
}

// readListEarly reads the list while a new head still waits for its lease or applies what was committed.
func (n *Node) readListEarly() {
	n.platform.early = nil
	n.platform.abandon(n.scheduler)
	if n.platform.reading == nil && n.scheduler == nil {
		n.readList()
	}
}

// listed takes in a reading; one that was made for a scheduler that is gone doesn't count.
func (n *Node) listed(reading *listReading, instances []workerapi.Instance, err error) {
	if n.platform.abandon(n.scheduler); n.platform.reading != reading {
		return
	}
	n.platform.reading = nil
	if err != nil {
		n.platform.failures++
		n.platform.readAt = n.now() + min(listRetryFirst<<min(n.platform.failures-1, 4), listRetryMost)
		n.listNotRead(err)
		return
	}
	n.listRead()
	if n.scheduler == nil {
		n.platform.early, n.platform.earlyAt = instances, n.now()
		return
	}
	n.takeList(instances, n.now())
}

// takeEarlyList gives a new scheduler what was read before it was made, if that is no older than a reading may be.
func (n *Node) takeEarlyList() {
	n.platform.abandon(n.scheduler)
	early := n.platform.early
	n.platform.early, n.platform.readAt = nil, 0
	if early != nil && n.now()-n.platform.earlyAt < listEvery {
		n.takeList(early, n.platform.earlyAt)
	}
}

// takeList gives the scheduler a reading.
func (n *Node) takeList(instances []workerapi.Instance, at time.Duration) {
	n.platform.readAt = at + listEvery
	n.scheduler.Listed(n.now(), instances)
}
