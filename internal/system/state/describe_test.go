package state

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEveryKindHasANameAndASummary(t *testing.T) {
	run := Run{Task: TaskName{Job: 0xab, Time: 1, Step: 2, Index: 3}, Attempt: 4}
	commands := []Command{
		{Kind: KindConfigReplaced, ConfigReplaced: &ConfigReplaced{Base: 1, Version: 2, Body: []byte("{}")}},
		{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: 0xab, Route: "barn", Service: "farm"}},
		{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: 0xab}},
		{Kind: KindTasksStarting, TasksStarting: []Start{{Run: run, Worker: "w-1"}}},
		{Kind: KindStartsVoided, StartsVoided: []Run{run}},
		{Kind: KindTasksEnded, TasksEnded: &TasksEnded{Worker: "w-1", Ends: []End{{Run: run, Number: 9, How: Done}}}},
		{Kind: KindWorkerLost, WorkerLost: "w-1"},
		{Kind: KindJobsForgotten, JobsForgotten: []JobID{1, 2, 3, 4, 5}},
		{Kind: KindWorkerForgotten, WorkerForgotten: "w-1"},
	}
	seen := map[string]bool{}
	for _, command := range commands {
		name := command.Kind.String()
		assert.NotContains(t, name, "kind-")
		assert.False(t, seen[name], name)
		seen[name] = true
		assert.NotEmpty(t, command.Summary(), name)
	}
	assert.Contains(t, commands[7].Summary(), "and 2 more")
	assert.Contains(t, commands[5].Summary(), "done")
	assert.Equal(t, "kind-200", Kind(200).String())
	assert.Empty(t, Command{Kind: 200}.Summary())
	assert.Equal(t, "conflict", Conflict.String())
	assert.Equal(t, "outcome-200", Outcome(200).String())
}
