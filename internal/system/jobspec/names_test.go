package jobspec

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestIDs(t *testing.T) {
	id, ok := ParseID("3fa9d10b7c26e858")
	require.True(t, ok)
	assert.Equal(t, ID(0x3fa9d10b7c26e858), id)
	assert.Equal(t, "3fa9d10b7c26e858", id.String())
	assert.Equal(t, "000000000000000a", ID(10).String())
	for _, text := range []string{
		"", "3fa9d10b7c26e85", "3fa9d10b7c26e8580", "3FA9D10B7C26E858", "3fa9d10b7c26e85g", "3fa9d10b7c26e85/", " fa9d10b7c26e858",
		"0xa9d10b7c26e858", "+fa9d10b7c26e858",
	} {
		_, ok := ParseID(text)
		assert.False(t, ok, "%q", text)
	}
}

func TestTaskNames(t *testing.T) {
	task, ok := ParseTask("3fa9d10b7c26e858.0.1.17")
	require.True(t, ok)
	assert.Equal(t, Task{Job: 0x3fa9d10b7c26e858, Time: 0, Step: 1, Index: 17}, task)
	assert.Equal(t, "3fa9d10b7c26e858.0.1.17", task.String())
	for _, name := range []string{
		"", "3fa9d10b7c26e858", "3fa9d10b7c26e858.0", "3fa9d10b7c26e858.0.1", "3fa9d10b7c26e858.0.1.", "3fa9d10b7c26e858.0.1.2.3",
		"3fa9d10b7c26e858.00.1.2", "3fa9d10b7c26e858.0.-1.2", "3fa9d10b7c26e858.0.1.4294967296", "3fa9d10b7c26e858.0.1.99999999999999999999",
		"x.0.1.2", "3fa9d10b7c26e858..1.2", "3fa9d10b7c26e858.0.1.2 ",
	} {
		task, ok := ParseTask(name)
		assert.False(t, ok, "%q", name)
		assert.Zero(t, task, "%q", name)
	}
}

func TestNamesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		task := drawTask(t)
		name := task.String()
		again, ok := ParseTask(name)
		require.True(t, ok, name)
		require.Equal(t, task, again)
		id, ok := ParseID(task.Job.String())
		require.True(t, ok)
		require.Equal(t, task.Job, id)
	})
}

func TestAcceptedNamesAreCanonical(t *testing.T) {
	name := rapid.OneOf(rapid.String(), rapid.StringMatching(`[0-9a-f]{16}(\.[0-9]{1,11}){3}`))
	rapid.Check(t, func(t *rapid.T) {
		text := name.Draw(t, "name")
		if task, ok := ParseTask(text); ok {
			require.Equal(t, text, task.String())
		}
	})
}

func TestTasksAreOrdered(t *testing.T) {
	sorted := []Task{
		{Job: 1, Time: 5}, {Job: 2}, {Job: 2, Index: 3}, {Job: 2, Step: 1}, {Job: 2, Time: 1}, {Job: 2, Time: 1, Step: 1, Index: 1},
	}
	shuffled := slices.Clone(sorted)
	slices.Reverse(shuffled)
	slices.SortFunc(shuffled, Task.Compare)
	assert.Equal(t, sorted, shuffled)
}

func TestNamesAreReadAndAppendedWithoutAllocation(t *testing.T) {
	buffer := make([]byte, 0, maxTaskNameLength)
	task := Task{Job: 1 << 63, Time: 1<<32 - 1, Step: 1<<32 - 1, Index: 1<<32 - 1}
	name := task.String()
	assert.Len(t, name, maxTaskNameLength)
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		task.Append(buffer)
		ParseTask(name)
	}))
}

func drawTask(t *rapid.T) Task {
	return Task{
		Job:   ID(rapid.Uint64().Draw(t, "job")),
		Time:  rapid.Uint32().Draw(t, "time"),
		Step:  rapid.Uint32().Draw(t, "step"),
		Index: rapid.Uint32().Draw(t, "index"),
	}
}
