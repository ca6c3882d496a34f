package state

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// acceptedJob is a state with one job, number 1.
func acceptedJob(t *testing.T, retries int, stages string) *Machine {
	machine := New()
	body := []byte(`{"spec":"x","stages":[` + stages + `]}`)
	result := machine.Apply(Command{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: 1, Route: "r", MaxRetries: retries, Body: body}})
	require.Equal(t, Applied, result.Outcome)
	return machine
}

func runOf(step, index, attempt uint32) Run {
	return Run{Task: TaskName{Job: 1, Step: step, Index: index}, Attempt: attempt}
}

// started has runs started on a worker and tells how many of the intents hold.
func (m *Machine) started(worker string, runs ...Run) int {
	starts := make([]Start, len(runs))
	for i, run := range runs {
		starts[i] = Start{Run: run, Worker: worker}
	}
	return len(m.Apply(Command{Kind: KindTasksStarting, TasksStarting: starts}).Started)
}

func (m *Machine) ended(worker string, number uint64, run Run, how EndReason) Result {
	ends := []End{{Run: run, Number: number, How: how}}
	return m.Apply(Command{Kind: KindTasksEnded, TasksEnded: &TasksEnded{Worker: worker, Ends: ends}})
}

func TestTaskThatIsDoneIsNotStartedAgain(t *testing.T) {
	m := acceptedJob(t, 3, `{"count":2,"cpu":100}`)
	require.Equal(t, 1, m.started("i-1", runOf(0, 0, 1)))
	m.ended("i-1", 1, runOf(0, 0, 1), Done)
	require.Zero(t, m.started("i-2", runOf(0, 0, 2)))
}

func TestStepIsNotStartedBeforeThoseItDependsOn(t *testing.T) {
	m := acceptedJob(t, 3, `{"count":1,"cpu":100},{"count":1,"cpu":100,"dependsOn":[0]}`)
	require.Zero(t, m.started("i-1", runOf(1, 0, 1)))
	require.Equal(t, 1, m.started("i-1", runOf(0, 0, 1)))
	require.Zero(t, m.started("i-1", runOf(1, 0, 1)))
	m.ended("i-1", 1, runOf(0, 0, 1), Done)
	require.Equal(t, 1, m.started("i-1", runOf(1, 0, 1)))
}

func TestJobFailsWithTheLastFailureThatItMayHave(t *testing.T) {
	m := acceptedJob(t, 2, `{"count":1,"cpu":100}`)
	m.started("i-1", runOf(0, 0, 1))
	m.ended("i-1", 1, runOf(0, 0, 1), Failed)
	require.Equal(t, Running, m.Job(1).State)
	m.started("i-1", runOf(0, 0, 2))
	m.ended("i-1", 2, runOf(0, 0, 2), Failed)
	require.Equal(t, JobFailed, m.Job(1).State)
}

func TestFailedGangCountsOnceWhicheverMembersListIt(t *testing.T) {
	m := acceptedJob(t, 2, `{"count":2,"cpu":100,"gang":true}`)
	require.Equal(t, 2, m.started("i-1", runOf(0, 0, 1), runOf(0, 1, 1)))
	m.ended("i-1", 1, runOf(0, 0, 1), Failed)
	m.ended("i-1", 2, runOf(0, 1, 1), Failed)
	require.Equal(t, Running, m.Job(1).State)
	require.EqualValues(t, 1, m.Job(1).Times[0].Steps[0].GangFailures)
}

func TestFailureAfterATaskIsDoneCountsNothing(t *testing.T) {
	m := acceptedJob(t, 1, `{"count":2,"cpu":100,"speculative":true}`)
	m.started("i-1", runOf(0, 0, 1))
	m.started("i-2", runOf(0, 0, 2))
	m.ended("i-1", 1, runOf(0, 0, 1), Done)
	m.ended("i-2", 1, runOf(0, 0, 2), Failed)
	require.Equal(t, Running, m.Job(1).State)
}

func TestEndOfARunThatWasNeverPlacedCountsNothing(t *testing.T) {
	m := acceptedJob(t, 3, `{"count":1,"cpu":100}`)
	m.started("i-1", runOf(0, 0, 1))
	m.ended("i-2", 1, runOf(0, 0, 2), Done)
	require.Equal(t, Running, m.Job(1).State)
}

func TestJobOfWhichSomethingMayRunIsNotForgotten(t *testing.T) {
	m := acceptedJob(t, 3, `{"count":1,"cpu":100}`)
	m.started("i-1", runOf(0, 0, 1))
	m.Apply(Command{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: 1}})
	m.Apply(Command{Kind: KindJobsForgotten, JobsForgotten: []JobID{1}})
	require.NotNil(t, m.Job(1))
	m.ended("i-1", 1, runOf(0, 0, 1), Stopped)
	m.Apply(Command{Kind: KindJobsForgotten, JobsForgotten: []JobID{1}})
	require.Nil(t, m.Job(1))
}

func TestJobThatIsOverStaysWhatItHasBecome(t *testing.T) {
	m := acceptedJob(t, 3, `{"count":1,"cpu":100}`)
	m.started("i-1", runOf(0, 0, 1))
	m.ended("i-1", 1, runOf(0, 0, 1), Done)
	result := m.Apply(Command{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: 1}})
	require.Equal(t, Repeated, result.Outcome)
	require.Equal(t, Completed, m.Job(1).State)
}

func TestIntentHoldsOnlyForATaskThatRunsNowhereAndUnderAHigherAttempt(t *testing.T) {
	m := acceptedJob(t, 3, `{"count":1,"cpu":100}`)
	require.Equal(t, 1, m.started("i-1", runOf(0, 0, 2)))
	require.Zero(t, m.started("i-2", runOf(0, 0, 3)), "it may run on i-1")
	m.Apply(Command{Kind: KindStartsVoided, StartsVoided: []Run{runOf(0, 0, 2)}})
	require.Zero(t, m.started("i-2", runOf(0, 0, 2)), "the same attempt")
	require.Equal(t, 1, m.started("i-2", runOf(0, 0, 3)))
}

func TestNothingOfAJobThatIsOverIsStarted(t *testing.T) {
	m := acceptedJob(t, 3, `{"count":1,"cpu":100}`)
	m.Apply(Command{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: 1}})
	require.Zero(t, m.started("i-1", runOf(0, 0, 1)))
}

func TestGangIsDoneWithItsFirstMember(t *testing.T) {
	m := acceptedJob(t, 3, `{"count":2,"cpu":100,"gang":true}`)
	require.Equal(t, 2, m.started("i-1", runOf(0, 0, 1), runOf(0, 1, 1)))
	m.ended("i-1", 1, runOf(0, 1, 1), Done)
	require.Equal(t, Completed, m.Job(1).State)
}

func TestRecordOfAWorkerOnWhichSomethingMayRunIsKept(t *testing.T) {
	m := acceptedJob(t, 3, `{"count":1,"cpu":100}`)
	m.started("i-1", runOf(0, 0, 1))
	m.Apply(Command{Kind: KindWorkerForgotten, WorkerForgotten: "i-1"})
	require.NotNil(t, m.Worker("i-1"))
	require.NoError(t, m.Check())
}
