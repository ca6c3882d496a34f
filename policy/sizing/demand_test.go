package sizing

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const demandNow = time.Duration(1000)

func drawTask(lanes int) *rapid.Generator[Task] {
	return rapid.Custom(func(t *rapid.T) Task {
		return Task{
			Remaining: time.Duration(rapid.IntRange(1, 8).Draw(t, "remaining")),
			Deadline:  demandNow + time.Duration(rapid.IntRange(1, 40).Draw(t, "deadline")),
			Lanes:     rapid.IntRange(0, lanes).Draw(t, "lanes"),
		}
	})
}

func sortByDeadline(tasks []Task) {
	slices.SortStableFunc(tasks, func(a, b Task) int { return cmp.Compare(a.Deadline, b.Deadline) })
}

// inSomeOrder tells whether one lane can run all tasks by their deadlines, by trying every order.
func inSomeOrder(at time.Duration, tasks []Task) bool {
	if len(tasks) == 0 {
		return true
	}
	for i, task := range tasks {
		end := at + task.Remaining
		if end <= task.Deadline && inSomeOrder(end, slices.Delete(slices.Clone(tasks), i, i+1)) {
			return true
		}
	}
	return false
}

// On one lane the test is sufficient and necessary.
func TestDemandOfOneLaneIsExact(t *testing.T) {
	var demand Demand
	runnable := rapid.SliceOfN(drawTask(1), 1, 7).Filter(func(tasks []Task) bool { return inSomeOrder(demandNow, tasks[1:]) })
	rapid.Check(t, func(t *rapid.T) {
		tasks := runnable.Draw(t, "tasks")
		candidate, accepted := tasks[0], tasks[1:]
		sortByDeadline(accepted)
		want := inSomeOrder(demandNow, tasks)
		require.Equal(t, want, demand.Admits(demandNow, 1, accepted, candidate))
	})
}

// simulate runs tasks in the order given, tick by tick, none before the one ahead of it, and returns when each ends.
func simulate(lanes int, tasks []Task) []time.Duration {
	ends, next := make([]time.Duration, len(tasks)), 0
	for now := demandNow; next < len(tasks); now++ {
		free := lanes
		for i := range next {
			if ends[i] > now {
				free -= max(tasks[i].Lanes, 1)
			}
		}
		for next < len(tasks) && max(tasks[next].Lanes, 1) <= free {
			free -= max(tasks[next].Lanes, 1)
			ends[next] = now + tasks[next].Remaining
			next++
		}
	}
	return ends
}

// edfOrder is the order in which tasks start: those started already, then by deadline, the candidate behind its equals.
func edfOrder(accepted []Task, candidate Task) (order []Task, at int) {
	var waiting []Task
	for _, task := range accepted {
		if task.Started {
			order = append(order, task)
		} else {
			waiting = append(waiting, task)
		}
	}
	place := slices.IndexFunc(waiting, func(task Task) bool { return task.Deadline > candidate.Deadline })
	if place < 0 {
		place = len(waiting)
	}
	at = len(order) + place
	return append(order, slices.Insert(waiting, place, candidate)...), at
}

// startSome marks tasks as started as long as there are lanes for them.
func startSome(t *rapid.T, lanes int, tasks []Task) {
	for i := range tasks {
		if need := max(tasks[i].Lanes, 1); need <= lanes && rapid.Bool().Draw(t, "started") {
			tasks[i].Started = true
			lanes -= need
		}
	}
}

// On any lanes the test says what a run in EDF order comes to.
func TestDemandIsARunInOrderOfDeadlines(t *testing.T) {
	var demand Demand
	rapid.Check(t, func(t *rapid.T) {
		lanes := rapid.IntRange(1, 6).Draw(t, "lanes")
		accepted := rapid.SliceOfN(drawTask(lanes), 0, 15).Draw(t, "accepted")
		candidate := drawTask(lanes).Draw(t, "candidate")
		sortByDeadline(accepted)
		startSome(t, lanes, accepted)
		order, at := edfOrder(accepted, candidate)
		wantEnds := simulate(lanes, order)
		want := true
		for i := at; i < len(order); i++ {
			want = want && wantEnds[i] <= order[i].Deadline
		}
		ends, ok := demand.EndTime(demandNow, lanes, accepted, candidate)
		require.Equal(t, want, ok)
		require.Equal(t, wantEnds[at], ends)
	})
}

// demandOf is one question to the demand test.
type demandOf struct {
	lanes     int
	accepted  []Task
	candidate Task
}

func drawDemand(t *rapid.T) demandOf {
	lanes := rapid.IntRange(1, 6).Draw(t, "lanes")
	accepted := rapid.SliceOfN(drawTask(lanes), 0, 15).Draw(t, "accepted")
	candidate := drawTask(lanes).Draw(t, "candidate")
	sortByDeadline(accepted)
	startSome(t, lanes, accepted)
	return demandOf{lanes, accepted, candidate}
}

// What passes still passes when runs turn out shorter.
func TestDemandHoldsForShorterRuns(t *testing.T) {
	var demand Demand
	passes := func(of demandOf) bool { return demand.Admits(demandNow, of.lanes, of.accepted, of.candidate) }
	passing := rapid.Custom(drawDemand).Filter(passes)
	rapid.Check(t, func(t *rapid.T) {
		of := passing.Draw(t, "demand")
		for i := range of.accepted {
			of.accepted[i].Remaining = time.Duration(rapid.IntRange(0, int(of.accepted[i].Remaining)).Draw(t, "shorter"))
		}
		require.True(t, passes(of))
	})
}

func TestDemandCases(t *testing.T) {
	var demand Demand
	second := time.Second
	long := Task{Remaining: 10 * second, Deadline: 20 * second, Started: true}
	late := Task{Remaining: 5 * second, Deadline: second}
	brief := Task{Remaining: second, Deadline: 2 * second}
	assert.False(t, demand.Admits(0, 0, nil, brief), "no lanes")
	assert.True(t, demand.Admits(0, 1, nil, brief), "an idle lane")
	assert.False(t, demand.Admits(0, 1, []Task{long}, brief), "behind what runs, whatever its deadline")
	assert.True(t, demand.Admits(0, 2, []Task{long}, brief), "beside what runs")
	assert.False(t, demand.Admits(0, 1, nil, Task{Remaining: second, Deadline: 9 * second, Lanes: 2}), "wider than the lanes")
	assert.True(t, demand.Admits(0, 1, []Task{late}, Task{Remaining: second, Deadline: 9 * second}),
		"one that is lost already keeps nobody out")
	assert.True(t, demand.Admits(0, 1, []Task{{Remaining: second, Deadline: 5 * second, Started: true, Lanes: 3}}, brief),
		"a lane less than what runs")
}

func BenchmarkDemand(b *testing.B) {
	var demand Demand
	var accepted []Task
	for i := range 64 {
		accepted = append(accepted, Task{Remaining: time.Second, Deadline: time.Hour + time.Duration(i), Lanes: 1 + i%2})
	}
	b.ReportAllocs()
	for b.Loop() {
		demand.Admits(0, 16, accepted, Task{Remaining: time.Second, Deadline: time.Hour})
	}
}
