package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gaugeslip/internal/system/jobspec"
)

// drawBody draws a small job.
func drawBody(t *rapid.T) []byte {
	spec := &jobspec.Spec{Text: rapid.StringN(0, 10, 20).Draw(t, "text")}
	for i := range rapid.IntRange(0, 3).Draw(t, "stages") {
		stage := jobspec.Stage{
			Count:       rapid.IntRange(0, 3).Draw(t, "count"),
			CPU:         1000,
			Gang:        rapid.Bool().Draw(t, "gang"),
			Speculative: rapid.Bool().Draw(t, "speculative"),
			LongRunning: rapid.IntRange(0, 5).Draw(t, "lasting") == 0,
		}
		if i > 0 && rapid.Bool().Draw(t, "depends") {
			stage.DependsOn = []int{rapid.IntRange(0, i-1).Draw(t, "on")}
		}
		spec.Stages = append(spec.Stages, stage)
	}
	if rapid.Bool().Draw(t, "timed") {
		spec.Repetitions = rapid.IntRange(1, 3).Draw(t, "repetitions")
	}
	body, err := spec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func drawTask(t *rapid.T) TaskName {
	return TaskName{
		Job:   JobID(rapid.Uint64Range(1, 4).Draw(t, "job")),
		Time:  rapid.Uint32Range(0, 3).Draw(t, "time"),
		Step:  rapid.Uint32Range(0, 3).Draw(t, "step"),
		Index: rapid.Uint32Range(0, 3).Draw(t, "index"),
	}
}

func drawRun(t *rapid.T) Run {
	return Run{Task: drawTask(t), Attempt: rapid.Uint32Range(1, 4).Draw(t, "attempt")}
}

func drawWorker(t *rapid.T) string {
	return rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "worker")
}

func drawCheckpoint(t *rapid.T) string { return rapid.StringN(0, 4, 16).Draw(t, "checkpoint") }

// drawCommand draws any command. Most commands concern one of a few jobs and workers.
func drawCommand(t *rapid.T) Command {
	kinds := []Kind{
		KindConfigReplaced, KindJobAccepted, KindJobCancelled, KindTasksStarting, KindStartsVoided, KindTasksEnded, KindWorkerLost,
		KindWorkerForgotten, KindJobsForgotten,
	}
	switch kind := rapid.SampledFrom(kinds).Draw(t, "kind"); kind {
	case KindConfigReplaced:
		return Command{Kind: kind, ConfigReplaced: &ConfigReplaced{
			Base: rapid.Uint64Range(0, 4).Draw(t, "base"), Version: rapid.Uint64Range(0, 5).Draw(t, "version"),
			Body: rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "body"),
		}}
	case KindJobAccepted:
		return Command{Kind: kind, JobAccepted: &JobAccepted{
			ID: JobID(rapid.Uint64Range(1, 4).Draw(t, "job")), Route: "r", Service: "s", MaxRetries: rapid.IntRange(0, 3).Draw(t, "retries"),
			Extension: rapid.Float64Range(0, 5).Draw(t, "extension"), AcceptedMs: rapid.Int64().Draw(t, "at"), Body: drawBody(t),
		}}
	case KindJobCancelled:
		return Command{Kind: kind, JobCancelled: &JobCancelled{
			ID: JobID(rapid.Uint64Range(1, 5).Draw(t, "job")), AtMs: rapid.Int64().Draw(t, "at"),
		}}
	case KindTasksStarting:
		starts := make([]Start, rapid.IntRange(1, 6).Draw(t, "starts"))
		for i := range starts {
			starts[i] = Start{Run: drawRun(t), Worker: drawWorker(t), Checkpoint: drawCheckpoint(t)}
		}
		return Command{Kind: kind, TasksStarting: starts}
	case KindStartsVoided:
		return Command{Kind: kind, StartsVoided: []Run{drawRun(t), drawRun(t)}}
	case KindTasksEnded:
		ended := &TasksEnded{Worker: drawWorker(t), Ends: make([]End, rapid.IntRange(1, 4).Draw(t, "ends"))}
		for i := range ended.Ends {
			how := EndReason(rapid.IntRange(int(Done), int(GangIncomplete)).Draw(t, "how"))
			number := rapid.Uint64Range(1, 60).Draw(t, "number")
			ended.Ends[i] = End{Run: drawRun(t), Number: number, How: how, Checkpoint: drawCheckpoint(t)}
		}
		return Command{Kind: kind, TasksEnded: ended}
	case KindWorkerLost:
		return Command{Kind: kind, WorkerLost: drawWorker(t)}
	case KindWorkerForgotten:
		return Command{Kind: kind, WorkerForgotten: drawWorker(t)}
	default:
		return Command{Kind: kind, JobsForgotten: []JobID{JobID(rapid.Uint64Range(1, 4).Draw(t, "job"))}}
	}
}

func TestCommandsKeepInvariantsAndSnapshotsRestoreState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := New()
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			command := drawCommand(t)
			machine.Apply(command)
			require.NoError(t, machine.Check(), "after %+v", command)
		}
		snapshot := machine.Snapshot()
		restored := New()
		require.NoError(t, restored.Restore(snapshot))
		require.NoError(t, restored.Check())
		require.Equal(t, snapshot, restored.Snapshot())
		for range rapid.IntRange(1, 20).Draw(t, "more") {
			command := drawCommand(t)
			require.Equal(t, machine.Apply(command).Outcome, restored.Apply(command).Outcome)
			require.Equal(t, machine.Snapshot(), restored.Snapshot(), "after %+v", command)
		}
	})
}

func TestCommandsSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		command := drawCommand(t)
		encoded := command.Encode()
		decoded, err := Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, command, decoded)
		cut := rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")
		_, err = Decode(encoded[:cut])
		require.ErrorIs(t, err, ErrCorrupt)
	})
}

func TestDecodingAnyBytesNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "data")
		if _, err := Decode(data); err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
		}
		_ = New().Restore(data)
	})
}

// An unreachable worker may come back and list ends that were counted before its loss. A failure must count only once.
func TestEndsCountOnceAcrossWorkerLoss(t *testing.T) {
	machine := New()
	body := []byte(`{"spec":"x","stages":[{"count":1,"cpu":100}]}`)
	machine.Apply(Command{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: 1, Route: "r", MaxRetries: 2, Body: body}})
	run := Run{Task: TaskName{Job: 1}, Attempt: 1}
	machine.Apply(Command{Kind: KindTasksStarting, TasksStarting: []Start{{Run: run, Worker: "i-1"}}})
	ended := Command{Kind: KindTasksEnded, TasksEnded: &TasksEnded{Worker: "i-1", Ends: []End{{Run: run, Number: 1, How: Failed}}}}
	machine.Apply(ended)
	machine.Apply(Command{Kind: KindWorkerLost, WorkerLost: "i-1"})
	machine.Apply(ended)
	require.Equal(t, uint32(1), machine.Job(1).Task(run.Task).Failures)
	require.Equal(t, Running, machine.Job(1).State)
	machine.Apply(Command{Kind: KindWorkerForgotten, WorkerForgotten: "i-1"})
	require.Nil(t, machine.Worker("i-1"))
}

func TestStepAfterEmptyStepIsReady(t *testing.T) {
	machine := New()
	body := []byte(`{"spec":"x","stages":[{"count":0},{"count":1,"cpu":100,"dependsOn":[0]}]}`)
	machine.Apply(Command{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: 1, Route: "r", MaxRetries: 2, Body: body}})
	require.True(t, machine.Job(1).StepReady(0, 1))
}

// A client repeats a submission after a lost answer, to any dispatcher or head. It must remain one job, with the first body.
func TestResubmittedJobStaysOneJob(t *testing.T) {
	machine := New()
	first := []byte(`{"spec":"x","stages":[{"count":1,"cpu":100}]}`)
	other := []byte(`{"spec":"y","stages":[{"count":2,"cpu":100}]}`)
	for at, body := range [][]byte{first, first, other} {
		result := machine.Apply(Command{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: 1, Route: "r", Body: body}})
		require.Equal(t, at > 0, result.Outcome == Repeated)
		require.Equal(t, "x", machine.Job(1).Spec.Text)
		require.Equal(t, 1, machine.pending["r"])
	}
}
