package decisionlab

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"gaugeslip/internal/system/nodesettings"
)

// afterDay bounds how long a day goes on once no more jobs are handed in.
const afterDay = 90 * time.Second

// world is the virtual time of one play, the modelled workers and what becomes of the jobs.
type world struct {
	day     *Day
	bounds  nodesettings.Bounds
	luck    *rand.Rand // of delays and lost answers
	now     time.Duration
	order   uint64
	events  eventQueue
	workers []*worker
	// failsLeft are the runs of each task that are still to fail.
	failsLeft map[taskName]int
	over      map[*Job]bool
	result    Result
}

func newWorld(day *Day, luck uint64) *world {
	w := &world{day: day, bounds: nodesettings.DefaultBounds(), luck: rand.New(rand.NewPCG(day.Seed, luck)), now: time.Second,
		failsLeft: map[taskName]int{}, over: map[*Job]bool{}}
	for i := range day.Workers {
		w.workers = append(w.workers, newWorker(w, i))
	}
	for _, job := range day.Jobs {
		w.result.Owed += job.Worth
		for step := range job.Steps {
			for task, fails := range job.Steps[step].Fails {
				w.failsLeft[taskName{job, step, task}] = fails
			}
		}
	}
	w.result.Jobs = len(day.Jobs)
	return w
}

// begin is the moment of the day's second 0.
const begin = time.Second

// at has something done at a moment, after what was asked for before at the same one.
func (w *world) at(moment time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: max(moment, w.now), order: w.order, do: do})
}

func (w *world) after(span time.Duration, do func()) { w.at(w.now+span, do) }

// play lets time pass until all jobs are over, or the day has ended for long.
func (w *world) play() {
	until := begin + seconds(w.day.Deployment.Seconds) + afterDay
	for len(w.events) > 0 && len(w.over) < len(w.day.Jobs) {
		next := heap.Pop(&w.events).(event)
		if next.at > until {
			return
		}
		w.now = next.at
		next.do()
	}
}

// trouble brings the day's troubles about; head is told of what the head bears.
func (w *world) trouble(head func(gone bool)) {
	for i := range w.day.Troubles {
		t := &w.day.Troubles[i]
		w.at(begin+t.From, func() { w.hit(t, true, head) })
		w.at(begin+t.To, func() { w.hit(t, false, head) })
	}
}

func (w *world) hit(t *DrawnTrouble, begins bool, head func(gone bool)) {
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

// completed takes note of a job that has been seen to be done.
func (w *world) completed(job *Job) {
	if w.over[job] {
		return
	}
	w.over[job] = true
	took := w.now - begin - job.At
	w.result.Earned += job.earns(took)
	w.result.Completed++
	if took <= job.Objective {
		w.result.InTime++
	}
}

// failed takes note of a job that has failed for good.
func (w *world) failed(job *Job) { w.over[job] = true }

// callDelay draws how long a call takes one way.
func (w *world) callDelay() time.Duration { return w.delay(w.day.Deployment.Delays.CallMs) }

// commitDelay draws how long a command takes until it is committed.
func (w *world) commitDelay() time.Duration { return w.delay(w.day.Deployment.Delays.CommitMs) }

func (w *world) delay(mean float64) time.Duration {
	return milliseconds(mean * around(w.luck, w.day.Deployment.Delays.Spread))
}

// answerLost draws whether an answer doesn't come.
func (w *world) answerLost() bool { return w.luck.Float64() < w.day.Deployment.Delays.LostAnswers }

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// eventQueue is a heap of events, by time and then by the order in which they were asked for.
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
