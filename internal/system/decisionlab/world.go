package decisionlab

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"gaugeslip/internal/system/nodesettings"
)

// maxOvertime limits how long a day continues after the last submission.
const maxOvertime = 90 * time.Second

// world holds the virtual time of one play, the modelled workers and the outcomes of the jobs.
type world struct {
	day     *Day
	bounds  nodesettings.Bounds
	random  *rand.Rand // for delays and lost answers
	now     time.Duration
	order   uint64
	events  eventQueue
	workers []*worker
	// failsLeft is the number of runs of each task that have yet to fail.
	failsLeft map[taskID]int
	finished  map[*Job]bool
	result    Result
}

func newWorld(day *Day, delaySeed uint64) *world {
	w := &world{day: day, bounds: nodesettings.DefaultBounds(), random: rand.New(rand.NewPCG(day.Seed, delaySeed)), now: time.Second,
		failsLeft: map[taskID]int{}, finished: map[*Job]bool{}}
	for i := range day.Workers {
		w.workers = append(w.workers, newWorker(w, i))
	}
	for _, job := range day.Jobs {
		w.result.Owed += job.Worth
		for step := range job.Steps {
			for task, fails := range job.Steps[step].Fails {
				w.failsLeft[taskID{job, step, task}] = fails
			}
		}
	}
	w.result.Jobs = len(day.Jobs)
	return w
}

// dayStart is the world's time at second 0 of the day.
const dayStart = time.Second

// schedule schedules an action at a time. Actions at the same time are executed in the order of these calls.
func (w *world) schedule(moment time.Duration, action func()) {
	w.order++
	heap.Push(&w.events, event{at: max(moment, w.now), order: w.order, action: action})
}

func (w *world) after(span time.Duration, action func()) { w.schedule(w.now+span, action) }

// run executes events until all jobs have finished or maxOvertime has passed.
func (w *world) run() {
	until := dayStart + seconds(w.day.Deployment.Seconds) + maxOvertime
	for len(w.events) > 0 && len(w.finished) < len(w.day.Jobs) {
		next := heap.Pop(&w.events).(event)
		if next.at > until {
			return
		}
		w.now = next.at
		next.action()
	}
}

// scheduleTroubles schedules the day's faults. It calls head for the faults of the head.
func (w *world) scheduleTroubles(head func(down bool)) {
	for i := range w.day.Troubles {
		t := &w.day.Troubles[i]
		w.schedule(dayStart+t.From, func() { w.applyTrouble(t, true, head) })
		w.schedule(dayStart+t.To, func() { w.applyTrouble(t, false, head) })
	}
}

func (w *world) applyTrouble(t *DrawnTrouble, begins bool, head func(down bool)) {
	if t.Kind == TroubleHead {
		head(begins)
		return
	}
	for _, index := range t.Workers {
		worker := w.workers[index]
		switch t.Kind {
		case TroubleCut:
			worker.setCut(begins)
		case TroubleCrash:
			worker.setUp(!begins)
		case TroubleGrey:
			worker.grey = begins
		case TroubleSlow:
			worker.setSlow(begins, t.Factor)
		}
	}
}

// completed records that a job is known to have completed.
func (w *world) completed(job *Job) {
	if w.finished[job] {
		return
	}
	w.finished[job] = true
	took := w.now - dayStart - job.At
	w.result.Earned += job.earned(took)
	w.result.Completed++
	if took <= job.Objective {
		w.result.InTime++
	}
}

// failed records that a job has failed for good.
func (w *world) failed(job *Job) { w.finished[job] = true }

// callDelay draws the one-way duration of a call.
func (w *world) callDelay() time.Duration { return w.delay(w.day.Deployment.Delays.CallMs) }

// commitDelay draws the time until a command is committed.
func (w *world) commitDelay() time.Duration { return w.delay(w.day.Deployment.Delays.CommitMs) }

func (w *world) delay(mean float64) time.Duration {
	return milliseconds(mean * logNormalFactor(w.random, w.day.Deployment.Delays.Spread))
}

// answerLost draws whether an answer is lost.
func (w *world) answerLost() bool { return w.random.Float64() < w.day.Deployment.Delays.LostAnswers }

type event struct {
	at     time.Duration
	order  uint64
	action func()
}

// eventQueue is a heap of events, by time and then by the order in which they were scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return last
}
