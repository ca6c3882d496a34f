package localcluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gaugeslip/coord/view"
	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/localcluster/faultydisk"
)

// diskSettleTime is how long after a disk fault the process may still exit because of it.
const diskSettleTime = 300 * time.Millisecond

// diskReturnTimeout is how long the run waits for the replica of a lost disk to be back in the chain. If the replica does not return
// in time, no further disk is lost.
const diskReturnTimeout = 20 * time.Second

// diskLosses limits the number of disks that are lost at the same time to one. The next disk may be lost once the replica of the last
// one is back in the chain under the identity of its new disk.
type diskLosses struct {
	mutex   sync.Mutex
	pending bool
	known   map[view.ReplicaID]bool // identities seen in the chain so far
}

// observe records the identities in the chain. It reports whether a replica at address is in the chain under an identity that was not
// known before.
func (d *diskLosses) observe(newest view.View, address string) (back bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, member := range newest.Chain {
		if !d.known[member.ID] && member.Address == address {
			back = true
		}
		d.known[member.ID] = true
	}
	return back
}

func (d *diskLosses) acquire() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.pending {
		return false
	}
	d.pending = true
	return true
}

func (d *diskLosses) release() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pending = false
}

func (s *soakRun) loseDisk(ctx context.Context, random *rand.Rand, length time.Duration) {
	if !s.disks.acquire() {
		return
	}
	newest, err := s.cluster.newestView()
	if err != nil {
		s.disks.release()
		return
	}
	s.disks.observe(newest, "")
	number := random.IntN(len(s.cluster.replicas))
	if !inChain(newest, hostPort(s.cluster.plan.layout.replica(number), internalPort)) {
		s.disks.release() // its disk may have an identity that is not known yet
		return
	}
	child := s.cluster.replicas[number]
	locked := s.withChildLocked(child, func() {
		child.kill()
		if err := s.cluster.prepareRestart(number, true); err != nil {
			s.addFinding("FAULT", "%s has no settings: %v", child.Name, err)
		}
		_ = pause.For(ctx, min(length, time.Second))
		s.restart(child)
	})
	if !locked {
		s.disks.release()
		return
	}
	s.clients.group.Go(func() { s.awaitDiskReturn(number) })
}

func inChain(newest view.View, address string) bool {
	return slices.ContainsFunc(newest.Chain, func(member view.Member) bool { return member.Address == address })
}

// awaitDiskReturn allows the next loss of a disk once the replica is back in the chain.
func (s *soakRun) awaitDiskReturn(number int) {
	limited, cancel := context.WithTimeout(s.clients.followContext, diskReturnTimeout)
	defer cancel()
	address := hostPort(s.cluster.plan.layout.replica(number), internalPort)
	for pause.For(limited, soakPollInterval) == nil {
		newest, err := s.cluster.newestView()
		if err == nil && s.disks.observe(newest, address) {
			s.disks.release()
			return
		}
	}
}

func (s *soakRun) stallDisk(ctx context.Context, random *rand.Rand, length time.Duration) {
	s.injectDiskFault(ctx, random, length, faultydisk.Stalled)
}

func (s *soakRun) slowDisk(ctx context.Context, random *rand.Rand, length time.Duration) {
	s.injectDiskFault(ctx, random, length, faultydisk.Slow)
}

func (s *soakRun) fillDisk(ctx context.Context, random *rand.Rand, length time.Duration) {
	s.injectDiskFault(ctx, random, length, faultydisk.Full)
}

// injectDiskFault applies a fault to a replica's disk for a while. In half of the cases it picks the head's disk. A process that exits
// because of the fault is started again, as the platform would do.
func (s *soakRun) injectDiskFault(ctx context.Context, random *rand.Rand, length time.Duration, trouble faultydisk.Fault) {
	child := s.anyReplica(random)
	if random.IntN(2) == 0 {
		child = s.headOrAnyReplica(random)
	}
	faultFile := faultydisk.FaultFile(s.cluster.plan.dataDir(slices.Index(s.cluster.replicas, child)))
	s.withChildLocked(child, func() {
		s.setDiskFault(faultFile, trouble)
		_ = pause.For(ctx, length)
		s.setDiskFault(faultFile, faultydisk.None)
		_ = pause.For(ctx, diskSettleTime)
		if child.excuseExit() {
			s.restart(child)
		}
	})
}

func (s *soakRun) setDiskFault(file string, trouble faultydisk.Fault) {
	if err := faultydisk.SetFault(file, trouble); err != nil {
		s.addFinding("FAULT", "a disk can't be struck: %v", err)
	}
}
