package control

import (
	"time"

	"github.com/charmbracelet/log"

	"gaugeslip/coord/chain"
	"gaugeslip/internal/system/invariant"
	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
)

// The invariants of a replica.
const (
	// appliedInOrder: entries of the chain are applied in order, without a gap.
	appliedInOrder invariant.Name = "applied_in_order"
	// configRises: the version in force never decreases while a replica runs, whatever its state comes from.
	configRises invariant.Name = "config_rises"
	// readIsCurrent: a read returns no version older than one that this replica has acknowledged or returned.
	readIsCurrent invariant.Name = "read_is_current"
	// stateConsistent: a finished job stays finished, and no count in the replicated state falls below zero.
	stateConsistent invariant.Name = "state_consistent"
	// startIsCommitted: a start is sent only for a run in the replicated state, and only by the head with its lease.
	startIsCommitted invariant.Name = "start_is_committed"
	// startIsAlone: a start is sent only while no other run of its task may exist, unless the step is speculative, and not for a task that
	// is done.
	startIsAlone invariant.Name = "start_is_alone"
	// tokenRises: the fencing tokens that a replica sends never decrease, and none is above the epoch that it leads.
	tokenRises invariant.Name = "token_rises"
	// endsAreCommitted: the end of a run is acknowledged to its worker only once it is committed.
	endsAreCommitted invariant.Name = "ends_are_committed"
	// schedulerConsistent: the scheduler's accounts of capacity, tasks and runs agree with each other and with the replicated state.
	schedulerConsistent invariant.Name = "scheduler_consistent"
)

// invariantNames lists all invariants of a replica.
var invariantNames = []invariant.Name{appliedInOrder, configRises, readIsCurrent, stateConsistent, startIsCommitted, startIsAlone, tokenRises,
	endsAreCommitted, schedulerConsistent}

// NewInvariants creates the invariant set of a replica's process. Violations are logged as errors.
func NewInvariants(logger *log.Logger) *invariant.Set {
	return invariant.NewSet(func(name invariant.Name, detail string) {
		logger.Error(invariant.LogMessage, "name", name, "detail", detail)
	}, invariantNames...)
}

// invariantState is what the checks remember between calls.
type invariantState struct {
	configVersion uint64 // highest version that was in force here
	shownVersion  uint64 // highest version acknowledged or returned
	highestToken  uint64 // highest fencing token sent
	// nextSchedulerCheck is when the scheduler's accounts are checked next.
	nextSchedulerCheck time.Duration
}

// checkEntry checks that an entry directly follows the last applied one.
func (e *engine) checkEntry(entry chain.Entry) {
	if entry.Index != e.appliedIndex+1 {
		e.options.invariants.Violated(appliedInOrder, "entry %d after %d", entry.Index, e.appliedIndex)
	}
}

// checkConfig checks that the version in force does not decrease.
func (n *Node) checkConfig(version uint64) {
	if version < n.invariantState.configVersion {
		n.invariants.Violated(configRises, "version %d after %d", version, n.invariantState.configVersion)
	}
	n.invariantState.configVersion = max(n.invariantState.configVersion, version)
}

// recordShownVersion records that the version in force here is acknowledged.
func (n *Node) recordShownVersion() {
	n.invariantState.shownVersion = max(n.invariantState.shownVersion, n.engine.machine.Config().Version)
}

// checkShownVersion checks that a version returned to a client is no older than any version acknowledged or returned before.
func (n *Node) checkShownVersion(version uint64) {
	if version < n.invariantState.shownVersion {
		n.invariants.Violated(readIsCurrent, "version %d is shown after %d", version, n.invariantState.shownVersion)
	}
	n.invariantState.shownVersion = max(n.invariantState.shownVersion, version)
}

// checkResult checks that a command has violated nothing in the state.
func (n *Node) checkResult(result *state.Result) {
	if result.Broken != "" {
		n.invariants.Violated(stateConsistent, "command of kind %d: %s", result.Command.Kind, result.Broken)
	}
}

// checkCalls checks the preconditions of calls to workers at the moment when they are sent.
func (n *Node) checkCalls(calls []scheduler.Call, sender senderState) {
	for i := range calls {
		n.checkCall(&calls[i], sender)
	}
}

// senderState is the epoch and role of this replica while it sends calls.
type senderState struct {
	epoch uint64
	head  bool
}

func (n *Node) checkCall(call *scheduler.Call, sender senderState) {
	switch call.Kind {
	case scheduler.CallStart:
		n.checkToken(call.Start.FenceToken, sender)
		n.checkStart(call, sender)
	case scheduler.CallStop:
		n.checkToken(call.Stop.FenceToken, sender)
	case scheduler.CallHold:
		n.checkToken(call.Hold.FenceToken, sender)
		n.checkLastSeen(call)
	}
}

func (n *Node) checkToken(token uint64, sender senderState) {
	if token < n.invariantState.highestToken || token > sender.epoch {
		n.invariants.Violated(tokenRises, "token %d after %d in epoch %d", token, n.invariantState.highestToken, sender.epoch)
	}
	n.invariantState.highestToken = max(n.invariantState.highestToken, token)
}

func (n *Node) checkStart(call *scheduler.Call, sender senderState) {
	name, ok := jobspec.ParseTask(call.Start.Task)
	run := state.Run{Task: name, Attempt: uint32(call.Start.Attempt)}
	job := n.engine.machine.Job(name.Job)
	worker := n.engine.machine.Worker(call.Worker.Instance)
	if !ok || job == nil || worker == nil {
		n.invariants.Violated(startIsCommitted, "run %q on %s: the state knows no such job or worker", call.Start.Task, call.Worker.Instance)
		return
	}
	if _, held := worker.Runs[run]; !held || !sender.head {
		n.invariants.Violated(startIsCommitted, "run %v on %s: held by the state %v, head %v", run, call.Worker.Instance, held, sender.head)
		return
	}
	n.checkAlone(job, run)
}

// checkAlone checks that no other run of the task may exist, and that the task is not done.
func (n *Node) checkAlone(job *state.Job, run state.Run) {
	task := job.Task(run.Task)
	if job.Spec == nil || task == nil {
		n.invariants.Violated(startIsAlone, "run %v of a job that is %s and has forgotten it", run, job.State)
		return
	}
	stage := &job.Spec.Stages[run.Task.Step]
	if task.Done || len(task.Placements) > 1 && !stage.Speculative {
		n.invariants.Violated(startIsAlone, "run %v: done %v, runs that may exist: %v", run, task.Done, task.Placements)
	}
}

// checkLastSeen checks that all ends up to the number acknowledged to a worker are committed. The check is skipped for a worker instance
// whose record was removed.
func (n *Node) checkLastSeen(call *scheduler.Call) {
	worker := n.engine.machine.Worker(call.Worker.Instance)
	if worker != nil && call.Hold.LastSeen > worker.LastSeen {
		n.invariants.Violated(endsAreCommitted, "ends of %s up to %d, committed up to %d", call.Worker.Instance, call.Hold.LastSeen, worker.LastSeen)
	}
}

// schedulerCheckInterval is the time between two checks of a part of the scheduler's accounts.
const schedulerCheckInterval = time.Second

// checkScheduler checks a part of the scheduler's accounts once per schedulerCheckInterval. The scheduler's output must be drained before.
func (n *Node) checkScheduler(now time.Duration) {
	if now < n.invariantState.nextSchedulerCheck {
		return
	}
	n.invariantState.nextSchedulerCheck = now + schedulerCheckInterval
	if err := n.scheduler.CheckSome(); err != nil {
		n.invariants.Violated(schedulerConsistent, "%v", err)
	}
}
