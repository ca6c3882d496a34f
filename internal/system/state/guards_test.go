package state

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// machineWithJob returns a state with one job, whose ID is 1.
func machineWithJob(t *testing.T, retries int, stages string) *Machine {
	machine := New()
	body := []byte(`{"spec":"x","stages":[` + stages + `]}`)
	result := machine.Apply(Command{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: 1, Route: "r", MaxRetries: retries, Body: body}})
	require.Equal(t, Applied, result.Outcome)
	return machine
}

func runOf(step, index, attempt uint32) Run {
	return Run{Task: TaskName{Job: 1, Step: step, Index: index}, Attempt: attempt}
}

// startRuns starts runs on a worker and returns how many of the starts took effect.
func (m *Machine) startRuns(worker string, runs ...Run) int {
	starts := make([]Start, len(runs))
	for i, run := range runs {
		starts[i] = Start{Run: run, Worker: worker}
	}
	return len(m.Apply(Command{Kind: KindTasksStarting, TasksStarting: starts}).Started)
}

func (m *Machine) endRun(worker string, number uint64, run Run, how EndReason) Result {
	ends := []End{{Run: run, Number: number, How: how}}
	return m.Apply(Command{Kind: KindTasksEnded, TasksEnded: &TasksEnded{Worker: worker, Ends: ends}})
}

func TestTaskThatIsDoneIsNotStartedAgain(t *testing.T) {
	m := machineWithJob(t, 3, `{"count":2,"cpu":100}`)
	require.Equal(t, 1, m.startRuns("i-1", runOf(0, 0, 1)))
	m.endRun("i-1", 1, runOf(0, 0, 1), Done)
	require.Zero(t, m.startRuns("i-2", runOf(0, 0, 2)))
}

func TestStepIsNotStartedBeforeThoseItDependsOn(t *testing.T) {
	m := machineWithJob(t, 3, `{"count":1,"cpu":100},{"count":1,"cpu":100,"dependsOn":[0]}`)
	require.Zero(t, m.startRuns("i-1", runOf(1, 0, 1)))
	require.Equal(t, 1, m.startRuns("i-1", runOf(0, 0, 1)))
	require.Zero(t, m.startRuns("i-1", runOf(1, 0, 1)))
	m.endRun("i-1", 1, runOf(0, 0, 1), Done)
	require.Equal(t, 1, m.startRuns("i-1", runOf(1, 0, 1)))
}

func TestJobFailsAtItsFailureLimit(t *testing.T) {
	m := machineWithJob(t, 2, `{"count":1,"cpu":100}`)
	m.startRuns("i-1", runOf(0, 0, 1))
	m.endRun("i-1", 1, runOf(0, 0, 1), Failed)
	require.Equal(t, Running, m.Job(1).State)
	m.startRuns("i-1", runOf(0, 0, 2))
	m.endRun("i-1", 2, runOf(0, 0, 2), Failed)
	require.Equal(t, JobFailed, m.Job(1).State)
}

func TestFailedGangAttemptCountsOnce(t *testing.T) {
	m := machineWithJob(t, 2, `{"count":2,"cpu":100,"gang":true}`)
	require.Equal(t, 2, m.startRuns("i-1", runOf(0, 0, 1), runOf(0, 1, 1)))
	m.endRun("i-1", 1, runOf(0, 0, 1), Failed)
	m.endRun("i-1", 2, runOf(0, 1, 1), Failed)
	require.Equal(t, Running, m.Job(1).State)
	require.EqualValues(t, 1, m.Job(1).Times[0].Steps[0].GangFailures)
}

func TestFailureAfterTaskIsDoneIsIgnored(t *testing.T) {
	m := machineWithJob(t, 1, `{"count":2,"cpu":100,"speculative":true}`)
	m.startRuns("i-1", runOf(0, 0, 1))
	m.startRuns("i-2", runOf(0, 0, 2))
	m.endRun("i-1", 1, runOf(0, 0, 1), Done)
	m.endRun("i-2", 1, runOf(0, 0, 2), Failed)
	require.Equal(t, Running, m.Job(1).State)
}

func TestEndOfUnplacedRunIsIgnored(t *testing.T) {
	m := machineWithJob(t, 3, `{"count":1,"cpu":100}`)
	m.startRuns("i-1", runOf(0, 0, 1))
	m.endRun("i-2", 1, runOf(0, 0, 2), Done)
	require.Equal(t, Running, m.Job(1).State)
}

func TestJobWithPossibleRunsIsNotForgotten(t *testing.T) {
	m := machineWithJob(t, 3, `{"count":1,"cpu":100}`)
	m.startRuns("i-1", runOf(0, 0, 1))
	m.Apply(Command{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: 1}})
	m.Apply(Command{Kind: KindJobsForgotten, JobsForgotten: []JobID{1}})
	require.NotNil(t, m.Job(1))
	m.endRun("i-1", 1, runOf(0, 0, 1), Stopped)
	m.Apply(Command{Kind: KindJobsForgotten, JobsForgotten: []JobID{1}})
	require.Nil(t, m.Job(1))
}

func TestFinishedJobKeepsItsState(t *testing.T) {
	m := machineWithJob(t, 3, `{"count":1,"cpu":100}`)
	m.startRuns("i-1", runOf(0, 0, 1))
	m.endRun("i-1", 1, runOf(0, 0, 1), Done)
	result := m.Apply(Command{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: 1}})
	require.Equal(t, Repeated, result.Outcome)
	require.Equal(t, Completed, m.Job(1).State)
}

func TestStartNeedsAFreeTaskAndAHigherAttempt(t *testing.T) {
	m := machineWithJob(t, 3, `{"count":1,"cpu":100}`)
	require.Equal(t, 1, m.startRuns("i-1", runOf(0, 0, 2)))
	require.Zero(t, m.startRuns("i-2", runOf(0, 0, 3)), "it may run on i-1")
	m.Apply(Command{Kind: KindStartsVoided, StartsVoided: []Run{runOf(0, 0, 2)}})
	require.Zero(t, m.startRuns("i-2", runOf(0, 0, 2)), "the same attempt")
	require.Equal(t, 1, m.startRuns("i-2", runOf(0, 0, 3)))
}

func TestFinishedJobStartsNothing(t *testing.T) {
	m := machineWithJob(t, 3, `{"count":1,"cpu":100}`)
	m.Apply(Command{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: 1}})
	require.Zero(t, m.startRuns("i-1", runOf(0, 0, 1)))
}

func TestGangIsDoneWithItsFirstMember(t *testing.T) {
	m := machineWithJob(t, 3, `{"count":2,"cpu":100,"gang":true}`)
	require.Equal(t, 2, m.startRuns("i-1", runOf(0, 0, 1), runOf(0, 1, 1)))
	m.endRun("i-1", 1, runOf(0, 1, 1), Done)
	require.Equal(t, Completed, m.Job(1).State)
}

func TestWorkerWithPossibleRunsIsKept(t *testing.T) {
	m := machineWithJob(t, 3, `{"count":1,"cpu":100}`)
	m.startRuns("i-1", runOf(0, 0, 1))
	m.Apply(Command{Kind: KindWorkerForgotten, WorkerForgotten: "i-1"})
	require.NotNil(t, m.Worker("i-1"))
	require.NoError(t, m.Check())
}

func cancelOf(id JobID) Command {
	return Command{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: id, AtMs: 5}}
}

func acceptOf(id JobID) Command {
	body := []byte(`{"spec":"text","stages":[{"count":1,"cpu":100}]}`)
	return Command{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: id, Route: "r", Service: "s", MaxRetries: 3, Body: body}}
}

// A cancellation that is answered as of an unknown job is final: a copy of the submission that comes later must not run (review).
func TestJobCancelledBeforeItsSubmissionNeverRuns(t *testing.T) {
	for _, restored := range []bool{false, true} {
		m := New()
		require.Equal(t, Unknown, m.Apply(cancelOf(1)).Outcome)
		require.Equal(t, Unknown, m.Apply(cancelOf(1)).Outcome, "the same again")
		if restored {
			require.NoError(t, m.Restore(m.Snapshot()))
		}
		result := m.Apply(acceptOf(1))
		require.Equal(t, Applied, result.Outcome)
		require.Equal(t, Cancelled, m.Job(1).State)
		require.Equal(t, []*Job{m.Job(1)}, result.Finished)
		require.Empty(t, m.pending)
		start := Start{Run: Run{Task: TaskName{Job: 1}, Attempt: 1}, Worker: "i-1"}
		require.False(t, m.MayStart(&start))
		require.Equal(t, Repeated, m.Apply(acceptOf(1)).Outcome)
		require.Equal(t, Repeated, m.Apply(cancelOf(1)).Outcome)
		require.NoError(t, m.Check())
	}
}

// The records of unknown jobs are bounded. Beyond the bound a cancellation is not answered as final, until some are forgotten.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	m := New()
	for id := range JobID(maxCancelledUnseen) {
		require.Equal(t, Unknown, m.Apply(cancelOf(id)).Outcome)
	}
	require.Equal(t, TooMany, m.Apply(cancelOf(maxCancelledUnseen)).Outcome)
	require.Nil(t, m.Job(maxCancelledUnseen))
	require.NoError(t, m.Restore(m.Snapshot()))
	require.Equal(t, TooMany, m.Apply(cancelOf(maxCancelledUnseen)).Outcome, "also after a restore")
	require.Equal(t, Applied, m.Apply(acceptOf(maxCancelledUnseen)).Outcome, "other jobs are accepted")
	m.Apply(Command{Kind: KindJobsForgotten, JobsForgotten: []JobID{7}})
	require.Equal(t, Unknown, m.Apply(cancelOf(maxCancelledUnseen+1)).Outcome)
	require.NoError(t, m.Check())
}
