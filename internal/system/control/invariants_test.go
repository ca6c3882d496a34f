package control

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/internal/system/invariant"
	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

const (
	checkedJob    state.JobID = 7
	checkedWorker             = "i-1"
	checkedEpoch              = 4
)

// newCheckedNode returns a node that has one job with one run, and counts violations.
func newCheckedNode(t *testing.T) *Node {
	n := &Node{invariants: invariant.NewSet(func(invariant.Name, string) {}, invariantNames...)}
	n.engine = &engine{machine: state.New(), options: engineOptions{invariants: n.invariants}}
	spec := jobspec.Spec{Text: "work", Stages: []jobspec.Stage{{Count: 2, CPU: 1}}}
	body, err := spec.Encode()
	require.NoError(t, err)
	accepted := &state.JobAccepted{ID: checkedJob, Route: "r", Service: "s", MaxRetries: 1, Body: body}
	for _, command := range []state.Command{
		{Kind: state.KindJobAccepted, JobAccepted: accepted},
		{Kind: state.KindTasksStarting, TasksStarting: []state.Start{{Run: checkedRun(0), Worker: checkedWorker}}},
	} {
		require.Equal(t, state.Applied, n.engine.machine.Apply(command).Outcome)
	}
	return n
}

func checkedRun(index uint32) state.Run {
	return state.Run{Task: state.TaskName{Job: checkedJob, Index: index}, Attempt: 1}
}

func startOf(run state.Run, worker string) *scheduler.Call {
	return &scheduler.Call{Kind: scheduler.CallStart, Worker: workerapi.Worker{Instance: worker},
		Start: workerapi.StartOrder{Task: run.Task.String(), Attempt: int(run.Attempt), FenceToken: checkedEpoch}}
}

// violations returns the names of the violated invariants.
func (n *Node) violations() (names []invariant.Name) {
	for _, count := range n.invariants.Counts() {
		if count.Violations > 0 {
			names = append(names, count.Name)
		}
	}
	return names
}

var actingSender = senderState{epoch: checkedEpoch, head: true}

func TestStartRequiresCommittedRun(t *testing.T) {
	n := newCheckedNode(t)
	n.checkCall(startOf(checkedRun(0), checkedWorker), actingSender)
	require.Empty(t, n.violations())
	for name, call := range map[string]*scheduler.Call{
		"another worker":     startOf(checkedRun(0), "i-2"),
		"a run not proposed": startOf(checkedRun(1), checkedWorker),
		"no name":            {Kind: scheduler.CallStart, Start: workerapi.StartOrder{Task: "work", FenceToken: checkedEpoch}},
	} {
		n := newCheckedNode(t)
		n.checkCall(call, actingSender)
		assert.Equal(t, []invariant.Name{startIsCommitted}, n.violations(), name)
	}
	n.checkCall(startOf(checkedRun(0), checkedWorker), senderState{epoch: checkedEpoch})
	assert.Equal(t, []invariant.Name{startIsCommitted}, n.violations(), "no lease")
}

func TestStartRequiresNoOtherRun(t *testing.T) {
	n := newCheckedNode(t)
	task := n.engine.machine.Job(checkedJob).Task(checkedRun(0).Task)
	task.Done = true
	n.checkCall(startOf(checkedRun(0), checkedWorker), actingSender)
	assert.Equal(t, []invariant.Name{startIsAlone}, n.violations())
	n = newCheckedNode(t)
	task = n.engine.machine.Job(checkedJob).Task(checkedRun(0).Task)
	task.Placements = append(task.Placements, state.Placement{Attempt: 2, Worker: "i-2"})
	n.checkCall(startOf(checkedRun(0), checkedWorker), actingSender)
	assert.Equal(t, []invariant.Name{startIsAlone}, n.violations())
}

func TestTokensNeverDecrease(t *testing.T) {
	n := newCheckedNode(t)
	for _, token := range []uint64{2, 2, 4} {
		n.checkCall(&scheduler.Call{Kind: scheduler.CallStop, Stop: workerapi.StopOrder{FenceToken: token}}, actingSender)
	}
	require.Empty(t, n.violations())
	n.checkCall(&scheduler.Call{Kind: scheduler.CallHold, Hold: workerapi.HoldOrder{FenceToken: 3}}, actingSender)
	assert.Equal(t, []invariant.Name{tokenRises}, n.violations())
	n = newCheckedNode(t)
	n.checkCall(&scheduler.Call{Kind: scheduler.CallHold, Hold: workerapi.HoldOrder{FenceToken: checkedEpoch + 1}}, actingSender)
	assert.Equal(t, []invariant.Name{tokenRises}, n.violations(), "above the epoch")
}

func TestWorkersAcknowledgedEndsAreCommitted(t *testing.T) {
	n := newCheckedNode(t)
	hold := &scheduler.Call{Kind: scheduler.CallHold, Worker: workerapi.Worker{Instance: checkedWorker}, Hold: workerapi.HoldOrder{FenceToken: 1}}
	n.checkCall(hold, actingSender)
	require.Empty(t, n.violations())
	hold.Hold.LastSeen = 1
	n.checkCall(hold, actingSender)
	assert.Equal(t, []invariant.Name{endsAreCommitted}, n.violations())
}

func TestVersionsNeverDecrease(t *testing.T) {
	n := newCheckedNode(t)
	n.checkConfig(3)
	n.checkShownVersion(3)
	n.checkConfig(5)
	n.checkShownVersion(5)
	require.Empty(t, n.violations())
	n.checkConfig(4)
	n.checkShownVersion(4)
	assert.Equal(t, []invariant.Name{configRises, readIsCurrent}, n.violations())
}

func TestEntriesAreAppliedInOrder(t *testing.T) {
	n := newCheckedNode(t)
	n.engine.appliedIndex = 3
	n.engine.checkEntry(chain.Entry{Index: 4})
	require.Empty(t, n.violations())
	n.engine.checkEntry(chain.Entry{Index: 5})
	assert.Equal(t, []invariant.Name{appliedInOrder}, n.violations())
}

func TestStateViolationIsCounted(t *testing.T) {
	n := newCheckedNode(t)
	n.checkResult(&state.Result{Broken: "a job that is over is finished"})
	assert.Equal(t, []invariant.Name{stateConsistent}, n.violations())
}
