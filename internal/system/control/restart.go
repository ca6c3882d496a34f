package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
)

// startEngine opens the log and creates the engine from its records.
func (n *Node) startEngine() error {
	disk, err := n.openDataDisk()
	if err != nil {
		return fmt.Errorf("data directory: %w", err)
	}
	file, records, err := wal.Open(disk, logName)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if records, err = n.replaceUnfitRecords(disk, file, records); err != nil {
		return fmt.Errorf("give up an unfit disk: %w", err)
	}
	engine, err := newEngine(engineOptions{config: n.replicaConfig(), log: file, records: records, now: n.now, post: n.loop.postUrgent,
		postDeferred: n.loop.postDeferred, send: n.sender.Send, applied: n.commandApplied, caughtUp: n.logBacklogApplied,
		committed: n.counts.latency.Observe, snapshotInstalled: n.snapshotInstalled, event: n.handleEvent,
		diskFailed: n.diskFailed, fatal: n.fail, logRewritten: n.logRewritten, invariants: n.invariants})
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	n.engine = engine
	n.invariantState.configVersion = 0 // the configuration on disk may be older; it is not returned to clients before it is current
	n.logRestoredLog(len(records), file.Size())
	n.applyConfig()
	n.engine.start()
	n.engine.step(replica.Contacts{Addresses: n.contacts()})
	return nil
}

func (n *Node) openDataDisk() (wal.Disk, error) {
	if n.disk != nil {
		return n.disk, nil
	}
	return wal.OSDisk(n.settings.DataDir)
}

// replicaConfig returns the configuration of the core. At the very first start the identity of a seed is its address, so that all seeds
// derive the same first view.
func (n *Node) replicaConfig() replica.Config {
	self := n.self()
	seeds := n.settings.SeedInternalAddresses()
	config := replica.Config{Tolerance: n.settings.FaultTolerance.Machines, Seed: rand.Uint64(), Grant: grantDuration,
		HeartbeatEvery: heartbeatInterval, DropAfter: dropAfter, StallAfter: stallAfter}
	if n.settings.Bootstrap && slices.Contains(seeds, self.Address) {
		self.ID = view.ReplicaID(self.Address)
		config.Genesis = n.genesis()
	} else {
		self.ID = view.ReplicaID(fmt.Sprintf("%s#%016x", self.Address, rand.Uint64()))
	}
	config.Self = self
	return config
}

func (n *Node) genesis() *view.View {
	var first view.View
	for i, address := range n.settings.SeedInternalAddresses() {
		first.Voters = append(first.Voters, view.Member{ID: view.ReplicaID(address), Address: address, Control: n.settings.SeedNodes[i]})
	}
	slices.SortFunc(first.Voters, func(a, b view.Member) int { return cmp.Compare(a.ID, b.ID) })
	first.Chain = slices.Clone(first.Voters)
	return &first
}

// diskFailed stops the core after a disk error. The core restarts after restartDelay from what the disk holds.
func (n *Node) diskFailed(err error) {
	if n.engine == nil || n.engine.closed {
		return
	}
	n.logger.Error("replica stopped", "error", err)
	n.engine.step(replica.DiskFailed{})
	n.dropScheduler()
	n.engine.close()
	time.AfterFunc(restartDelay, func() { n.loop.post(n.restartEngine) })
}

func (n *Node) restartEngine() {
	if n.leaving {
		return
	}
	if !n.engine.disk.hasEnded() {
		time.AfterFunc(restartDelay, func() { n.loop.post(n.restartEngine) })
		return
	}
	if err := n.startEngine(); err != nil {
		n.logger.Error("replica failed to restart", "error", err)
		time.AfterFunc(restartDelay, func() { n.loop.post(n.restartEngine) })
		return
	}
	n.logger.Info("replica started again")
}

func (n *Node) logRewritten(bytes int64, took time.Duration) {
	n.logger.Info("log compacted", "bytes", bytes, "took", took.Round(time.Millisecond))
}
