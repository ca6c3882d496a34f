package localcluster

import (
	"context"
	"os"
	"slices"
	"strings"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/hollow"
)

// awaitRecovery waits until every replica is back in the chain.
func (s *soakRun) awaitRecovery(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for {
		newest, err := s.cluster.newestView()
		if err == nil && len(newest.Chain) == s.options.Replicas {
			return
		}
		if pause.For(limited, soakPollInterval) != nil {
			s.addFinding("RECOVER", "%v after the troubles the chain is %v (%v)", recoveryTimeout, newest.Chain, err)
			return
		}
	}
}

// runFinalChecks waits for all jobs and checks the guarantees that have to hold at the end.
func (s *soakRun) runFinalChecks(ctx context.Context) {
	runWithTimeout(ctx, finishTimeout, s.clients.awaitFinished)
	runWithTimeout(ctx, settleTimeout, s.operator.checkFinalReads)
	runWithTimeout(ctx, settleTimeout, s.checkDispatchers)
	s.checkWorkers()
	s.checkProcesses()
}

// runWithTimeout calls do with a context that ends after the limit.
func runWithTimeout(ctx context.Context, limit time.Duration, do func(context.Context)) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	do(limited)
}

// checkWorkers adds the violations that the workers' checker found. It ignores incomplete gangs, which may time out during troubles.
func (s *soakRun) checkWorkers() {
	for _, violation := range s.cluster.fleet.world.Violations() {
		if violation.Rule != hollow.RuleAlone {
			s.addFinding(string(violation.Rule), "%s", violation.String())
		}
	}
}

// alarmTexts are texts that must not appear in the log of any process.
var alarmTexts = []string{"invariant broken", "an invariant is broken", "panic:", "fatal error:", "DATA RACE"}

// checkProcesses checks every process for exits without a request, for memory above the limit, and for alarms in its log.
func (s *soakRun) checkProcesses() {
	for _, child := range s.cluster.children() {
		if how, count := child.crashSummary(); count > 0 {
			s.addFinding("FAULT", "%s ended by itself %d times, the last time: %s", child.Name, count, how)
		}
		content, err := os.ReadFile(child.logPath)
		if err != nil {
			s.addFinding("FAULT", "%s has no log: %v", child.Name, err)
		}
		if peak, most := child.usage().Peak, int64(s.memoryMb(child)*megabyte); peak > most {
			s.addFinding("MEMORY", "%s took %d MB at the most, its machine has %d", child.Name, peak/megabyte, most/megabyte)
		}
		for line := range strings.Lines(string(content)) {
			if slices.ContainsFunc(alarmTexts, func(alarm string) bool { return strings.Contains(line, alarm) }) {
				s.addFinding("INVARIANT", "%s: %s", child.Name, strings.TrimSpace(line))
			}
		}
	}
}

// memoryMb returns the memory of the process's machine.
func (s *soakRun) memoryMb(child *Child) float64 {
	if slices.Contains(s.cluster.replicas, child) {
		return replicaMemoryMb
	}
	return dispatcherMemoryMb
}
