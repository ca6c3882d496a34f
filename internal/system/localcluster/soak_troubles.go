package localcluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/hollow"
)

const (
	firstTrackStream   = 100 // random number stream of the first track
	maxTroubleGap      = 1200 * time.Millisecond
	minTroubleDuration = 200 * time.Millisecond
	maxTroubleDuration = 4 * time.Second
	restartPause       = 50 * time.Millisecond
	maxSlowdown        = 4
)

// soakTrouble is one kind of trouble. inject causes it and ends it, with the details drawn from random.
type soakTrouble struct {
	name   string
	inject func(s *soakRun, ctx context.Context, random *rand.Rand, length time.Duration)
}

// soakTroubles are all kinds of trouble. Those that affect the control plane appear in several variants, so that they are drawn more
// often.
var soakTroubles = []soakTrouble{
	{"kill replica", (*soakRun).killReplica},
	{"kill head", (*soakRun).killHead},
	{"restart replica", (*soakRun).restartReplica},
	{"freeze replica", (*soakRun).freezeReplica},
	{"freeze head", (*soakRun).freezeHead},
	{"freeze under changes", (*soakRun).freezeUnderChanges},
	{"lose disk", (*soakRun).loseDisk},
	{"stall disk", (*soakRun).stallDisk},
	{"slow disk", (*soakRun).slowDisk},
	{"fill disk", (*soakRun).fillDisk},
	{"kill core", (*soakRun).killCore},
	{"kill all", (*soakRun).killAll},
	{"cut replica", (*soakRun).cutReplica},
	{"cut replica one way", (*soakRun).cutReplicaOneWay},
	{"split core", (*soakRun).splitCore},
	{"cut core from workers", (*soakRun).cutFromWorkers},
	{"cut dispatcher", (*soakRun).cutDispatcher},
	{"kill dispatcher", (*soakRun).killDispatcher},
	{"restart dispatcher", (*soakRun).restartDispatcher},
	{"freeze dispatcher", (*soakRun).freezeDispatcher},
	{"reload", (*soakRun).reload},
	{"signal series", (*soakRun).signalSeries},
	{"restart series", (*soakRun).restartSeries},
	{"roll dispatchers", (*soakRun).rollDispatchers},
	{"roll all", (*soakRun).rollAll},
	{"change settings", (*soakRun).changeSettings},
	{"lose answers", (*soakRun).loseAnswers},
	{"delay", (*soakRun).delay},
	{"reset connections", (*soakRun).resetConnections},
	{"stalled bodies", (*soakRun).stalledBodies},
	{"crash workers", (*soakRun).crashWorkers},
	{"unsound workers", (*soakRun).faultyWorkers},
}

// runTrack causes one trouble after the other until the context ends, and ends the last one.
func (s *soakRun) runTrack(ctx context.Context, random *rand.Rand) {
	for pause.For(ctx, time.Duration(random.Int64N(int64(maxTroubleGap)))) == nil {
		trouble := &soakTroubles[random.IntN(len(soakTroubles))]
		length := minTroubleDuration + time.Duration(random.Int64N(int64(maxTroubleDuration-minTroubleDuration)))
		s.mutex.Lock()
		s.troubles[trouble.name]++
		s.mutex.Unlock()
		s.logLine(trouble.name + " for " + length.Round(time.Millisecond).String())
		trouble.inject(s, ctx, random, length)
	}
}

// withChildLocked calls do unless another trouble currently applies to the process. It reports whether it called do.
func (s *soakRun) withChildLocked(child *Child, do func()) bool {
	lock := s.childLocks[child]
	if !lock.TryLock() {
		return false
	}
	defer lock.Unlock()
	do()
	return true
}

// stopAndRestart ends a process, waits, and starts it again.
func (s *soakRun) stopAndRestart(ctx context.Context, child *Child, end func(), length time.Duration) {
	s.withChildLocked(child, func() {
		end()
		_ = pause.For(ctx, length)
		s.restart(child)
	})
}

// restart starts a process with the settings of a restart, which do not bootstrap.
func (s *soakRun) restart(child *Child) {
	if number := slices.Index(s.cluster.replicas, child); number >= 0 {
		if err := s.cluster.prepareRestart(number, false); err != nil {
			s.addFinding("FAULT", "%s has no settings: %v", child.Name, err)
		}
	}
	if err := child.start(); err != nil {
		s.addFinding("FAULT", "%s doesn't start: %v", child.Name, err)
	}
}

func (s *soakRun) anyReplica(random *rand.Rand) *Child {
	return s.cluster.replicas[random.IntN(len(s.cluster.replicas))]
}

func (s *soakRun) anyDispatcher(random *rand.Rand) *Child {
	return s.cluster.dispatchers[random.IntN(len(s.cluster.dispatchers))]
}

// headOrAnyReplica returns the replica at the head, or a random one if the head is not known.
func (s *soakRun) headOrAnyReplica(random *rand.Rand) *Child {
	if number := s.cluster.headIndex(); number >= 0 {
		return s.cluster.replicas[number]
	}
	return s.anyReplica(random)
}

func (s *soakRun) killReplica(ctx context.Context, random *rand.Rand, length time.Duration) {
	child := s.anyReplica(random)
	s.stopAndRestart(ctx, child, child.kill, length)
}

func (s *soakRun) killHead(ctx context.Context, random *rand.Rand, length time.Duration) {
	child := s.headOrAnyReplica(random)
	s.stopAndRestart(ctx, child, child.kill, length)
}

func (s *soakRun) restartReplica(ctx context.Context, random *rand.Rand, _ time.Duration) {
	child := s.anyReplica(random)
	s.stopAndRestart(ctx, child, func() { s.terminate(child) }, restartPause)
}

func (s *soakRun) freezeReplica(ctx context.Context, random *rand.Rand, length time.Duration) {
	s.freeze(ctx, s.anyReplica(random), length)
}

func (s *soakRun) freezeHead(ctx context.Context, random *rand.Rand, length time.Duration) {
	s.freeze(ctx, s.headOrAnyReplica(random), length)
}

func (s *soakRun) freeze(ctx context.Context, child *Child, length time.Duration) {
	s.freezeWith(ctx, child, length, func() {})
}

// freezeWith freezes a process and calls do while it stands still.
func (s *soakRun) freezeWith(ctx context.Context, child *Child, length time.Duration, do func()) {
	s.withChildLocked(child, func() {
		child.freeze()
		do()
		_ = pause.For(ctx, length)
		child.thaw()
	})
}

// freezeUnderChanges freezes a replica and sends it a series of changes. Copies of them wait there while they are decided elsewhere.
func (s *soakRun) freezeUnderChanges(ctx context.Context, random *rand.Rand, length time.Duration) {
	number := random.IntN(len(s.cluster.replicas))
	var group sync.WaitGroup
	s.freezeWith(ctx, s.cluster.replicas[number], length+soakCallTimeout, func() {
		base := s.operator.currentVersion(ctx, s.operator.acknowledged())
		group.Go(func() { s.operator.sendSeries(ctx, random, base, s.cluster.controlAddresses()[number]) })
	})
	group.Wait()
}

func (s *soakRun) killCore(ctx context.Context, _ *rand.Rand, length time.Duration) {
	s.killTogether(ctx, s.cluster.replicas, length)
}

func (s *soakRun) killAll(ctx context.Context, _ *rand.Rand, length time.Duration) {
	s.killTogether(ctx, s.cluster.children(), length)
}

func (s *soakRun) killTogether(ctx context.Context, children []*Child, length time.Duration) {
	var group sync.WaitGroup
	for _, child := range children {
		group.Go(func() { s.stopAndRestart(ctx, child, child.kill, length/4) })
	}
	group.Wait()
}

func (s *soakRun) killDispatcher(ctx context.Context, random *rand.Rand, length time.Duration) {
	child := s.anyDispatcher(random)
	s.stopAndRestart(ctx, child, child.kill, length/4)
}

func (s *soakRun) restartDispatcher(ctx context.Context, random *rand.Rand, _ time.Duration) {
	child := s.anyDispatcher(random)
	s.stopAndRestart(ctx, child, func() { s.terminate(child) }, restartPause)
}

func (s *soakRun) freezeDispatcher(ctx context.Context, random *rand.Rand, length time.Duration) {
	s.freeze(ctx, s.anyDispatcher(random), length)
}

// reload makes every process reload its settings, some of them twice.
func (s *soakRun) reload(_ context.Context, random *rand.Rand, _ time.Duration) {
	for _, child := range s.cluster.children() {
		for range 1 + random.IntN(2) {
			child.sendHangUp()
		}
	}
}

// sendHangUp sends SIGHUP, unless the process is down or does not handle signals yet.
func (c *Child) sendHangUp() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != childDown && c.takesSignals {
		_ = c.process.Signal(syscall.SIGHUP) // the process may already have exited
	}
}

func (s *soakRun) crashWorkers(ctx context.Context, random *rand.Rand, length time.Duration) {
	for _, worker := range s.cluster.fleet.workers {
		if random.IntN(4) == 0 {
			worker.Crash(length)
		}
	}
	_ = pause.For(ctx, length)
}

// faultyWorkers applies one kind of fault to some workers.
func (s *soakRun) faultyWorkers(ctx context.Context, random *rand.Rand, length time.Duration) {
	faults := []hollow.Faults{
		{Silent: true}, {Hang: true}, {Busy: true}, {Slow: 1 + maxSlowdown*random.Float64()}, {FailShare: 0.3},
		{LateBy: time.Duration(random.Int64N(int64(maxTroubleDuration)))},
	}
	fault := faults[random.IntN(len(faults))]
	var affected []*hollow.Worker
	for _, worker := range s.cluster.fleet.workers {
		if random.IntN(4) == 0 {
			affected = append(affected, worker)
			worker.SetFaults(fault)
		}
	}
	_ = pause.For(ctx, length)
	for _, worker := range affected {
		worker.SetFaults(hollow.Faults{})
	}
}
