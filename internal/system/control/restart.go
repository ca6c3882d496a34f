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

// startEngine opens the log and makes the replica from what it holds.
func (n *Node) startEngine() error {
	folder, err := n.dataFolder()
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	file, records, err := wal.Open(folder, logName)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if records, err = n.fitRecords(folder, file, records); err != nil {
		return fmt.Errorf("give up an unfit disk: %w", err)
	}
	engine, err := newEngine(engineOptions{config: n.replicaConfig(), log: file, records: records, now: n.now, post: n.loop.postUrgent, yield: n.loop.postAfterOthers,
		send: n.sender.Send, applied: n.applied, caughtUp: n.tellOfBacklog, committed: n.counts.latency.Observe, installed: n.installed, event: n.event,
		failed: n.engineFailed, fault: n.fail, rewritten: n.logRewritten, invariants: n.invariants})
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	n.engine = engine
	n.watched.config = 0 // what the disk holds may be older, and isn't shown before it is current
	n.tellOfDisk(len(records), file.Size())
	n.configTaken()
	n.engine.begin()
	n.engine.step(replica.Contacts{Addresses: n.contacts()})
	return nil
}

func (n *Node) dataFolder() (wal.Disk, error) {
	if n.folder != nil {
		return n.folder, nil
	}
	return wal.OSDisk(n.settings.DataDir)
}

// replicaConfig names this replica; at the very first start a seed's identity is its address, so that all know the first view.
func (n *Node) replicaConfig() replica.Config {
	self := n.self()
	seeds := n.settings.SeedInternalAddresses()
	config := replica.Config{Tolerance: n.settings.FaultTolerance.Machines, Seed: rand.Uint64(), Grant: grant,
		HeartbeatEvery: heartbeatEvery, DropAfter: dropAfter, StallAfter: stallAfter}
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

// engineFailed takes the replica out; it comes back after a pause with what the disk holds.
func (n *Node) engineFailed(err error) {
	if n.engine == nil || n.engine.closed {
		return
	}
	n.logger.Error("replica stopped", "error", err)
	n.engine.step(replica.DiskFailed{})
	n.dropScheduler()
	n.engine.close()
	time.AfterFunc(restartPause, func() { n.loop.post(n.restartEngine) })
}

func (n *Node) restartEngine() {
	if n.leaving {
		return
	}
	if !n.engine.disk.hasEnded() {
		time.AfterFunc(restartPause, func() { n.loop.post(n.restartEngine) })
		return
	}
	if err := n.startEngine(); err != nil {
		n.logger.Error("replica doesn't start", "error", err)
		time.AfterFunc(restartPause, func() { n.loop.post(n.restartEngine) })
		return
	}
	n.logger.Info("replica started again")
}

func (n *Node) logRewritten(bytes int64, took time.Duration) {
	n.logger.Info("log rewritten", "bytes", bytes, "took", took.Round(time.Millisecond))
}
