package localcluster

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"gaugeslip/internal/pause"
)

const (
	maxSeriesSignals  = 8
	maxSignalGap      = 300 * time.Millisecond
	maxSeriesRestarts = 5
	maxShortUptime    = 800 * time.Millisecond
	maxRollGap        = 700 * time.Millisecond
	maxRolled         = 12 // processes that one roll restarts
	maxSettingsWrites = 6
)

func (s *soakRun) anyChild(random *rand.Rand) *Child {
	children := s.cluster.children()
	return children[random.IntN(len(children))]
}

// disturb sends a signal to the current incarnation, whatever its state, also while it ends.
func (c *Child) disturb(signal syscall.Signal) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != childDown {
		c.recordInterruption(signal)
		_ = c.process.Signal(signal) // the process may already have exited
	}
}

// signalSeries sends a process several signals shortly after each other. Once it was asked to end, further signals meet it on its way out.
func (s *soakRun) signalSeries(ctx context.Context, random *rand.Rand, _ time.Duration) {
	child := s.anyChild(random)
	s.withChildLocked(child, func() {
		ended := make(chan struct{})
		ending := false
		for range 2 + random.IntN(maxSeriesSignals) {
			switch random.IntN(4) {
			case 0:
				child.disturb(syscall.SIGSTOP)
				_ = pause.For(ctx, time.Duration(random.Int64N(int64(maxSignalGap))))
				child.disturb(syscall.SIGCONT)
			case 1:
				if !ending {
					ending = true
					go func() {
						defer close(ended)
						s.terminate(child)
					}()
				} else {
					child.disturb(syscall.SIGTERM)
				}
			default:
				child.sendHangUp()
			}
			_ = pause.For(ctx, time.Duration(random.Int64N(int64(maxSignalGap))))
		}
		if ending {
			<-ended
			s.restart(child)
		}
	})
}

// terminate ends a process as the platform does. A process that has not ended by itself within its grace period is a finding.
func (s *soakRun) terminate(child *Child) {
	if !child.terminate(terminateTimeout) {
		s.addFinding("FAULT", "%s had not ended %v after SIGTERM", child.Name, terminateTimeout)
	}
}

// restartSeries restarts one process several times, in part before it has begun to serve.
func (s *soakRun) restartSeries(ctx context.Context, random *rand.Rand, _ time.Duration) {
	child := s.anyChild(random)
	s.withChildLocked(child, func() {
		for range 2 + random.IntN(maxSeriesRestarts) {
			if random.IntN(2) == 0 {
				child.kill()
			} else {
				s.terminate(child)
			}
			s.restart(child)
			_ = pause.For(ctx, time.Duration(random.Int64N(int64(maxShortUptime))))
		}
	})
}

// rollDispatchers restarts dispatchers in turn; the next one is asked to end before the last one has ended.
func (s *soakRun) rollDispatchers(ctx context.Context, random *rand.Rand, _ time.Duration) {
	s.roll(ctx, random, s.cluster.dispatchers)
}

// rollAll restarts processes of both roles in turn.
func (s *soakRun) rollAll(ctx context.Context, random *rand.Rand, _ time.Duration) {
	s.roll(ctx, random, s.cluster.children())
}

func (s *soakRun) roll(ctx context.Context, random *rand.Rand, children []*Child) {
	order := slices.Clone(children)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	var group sync.WaitGroup
	for _, child := range order[:min(len(order), maxRolled)] {
		group.Go(func() { s.stopAndRestart(ctx, child, func() { s.terminate(child) }, restartPause) })
		_ = pause.For(ctx, time.Duration(random.Int64N(int64(maxRollGap))))
	}
	group.Wait()
}

// changeSettings writes a process's settings file several times: with the seeds in another order, incomplete, and as it was. Some writes
// are told by a signal.
func (s *soakRun) changeSettings(ctx context.Context, random *rand.Rand, _ time.Duration) {
	child := s.anyChild(random)
	s.withChildLocked(child, func() {
		for range 1 + random.IntN(maxSettingsWrites) {
			settings := s.settingsOf(child)
			settings.SeedNodes = slices.Clone(settings.SeedNodes)
			random.Shuffle(len(settings.SeedNodes), func(i, j int) {
				settings.SeedNodes[i], settings.SeedNodes[j] = settings.SeedNodes[j], settings.SeedNodes[i]
			})
			s.writeSettings(settings, random.IntN(3) == 0)
			if random.IntN(2) == 0 {
				child.sendHangUp()
			}
			_ = pause.For(ctx, time.Duration(random.Int64N(int64(maxSignalGap))))
		}
		s.writeSettings(s.settingsOf(child), false)
		child.sendHangUp()
	})
}

func (s *soakRun) settingsOf(child *Child) nodeFile {
	if number := slices.Index(s.cluster.replicas, child); number >= 0 {
		return s.cluster.plan.replicaSettings(number, false)
	}
	return s.cluster.plan.dispatcherSettings(slices.Index(s.cluster.dispatchers, child))
}

// writeSettings writes a settings file. An incomplete one is cut in half.
func (s *soakRun) writeSettings(settings nodeFile, incomplete bool) {
	path, err := s.cluster.plan.writeSettings(settings)
	if err == nil && incomplete {
		err = truncateToHalf(path)
	}
	if err != nil {
		s.addFinding("FAULT", "%s has no settings: %v", settings.NodeName, err)
	}
}

func truncateToHalf(path string) error {
	found, err := os.Stat(path)
	if err != nil {
		return err
	}
	return os.Truncate(path, found.Size()/2)
}
