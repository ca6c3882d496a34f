package control

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/wal/simdisk"
	"gaugeslip/internal/seeds"
	"gaugeslip/internal/system/state"
)

// restartBack is how long it may take until all machines are back after the last fault.
const restartBack = 10 * time.Second

// restartWriter writes configurations and jobs at the head, one after the other.
type restartWriter struct {
	world   *restartWorld
	changes uint64 // confirmed configurations
	jobs    uint64
}

// write hands one command to the head, if there is one, and tells whether it is committed.
func (r *restartWriter) write(command state.Command) bool {
	head := r.world.head()
	if head == nil {
		time.Sleep(20 * time.Millisecond)
		return false
	}
	p := head.running()
	if p == nil {
		return false
	}
	answers := make(chan bool, 1)
	p.loop.post(func() {
		p.engine.propose(command, func(result state.Result, fate fate) {
			answers <- fate == fateCommitted && result.Outcome <= state.Repeated
		})
	})
	select {
	case done := <-answers:
		return done
	case <-time.After(2 * time.Second):
		return false
	}
}

// change puts the next configuration in force; until it is known to be, the same one is tried again.
func (r *restartWriter) change() {
	for try := 0; try < 200; try++ {
		body := fmt.Appendf(nil, `{"version":%d}`, r.changes+1)
		if r.write(state.Command{Kind: state.KindConfigReplaced,
			ConfigReplaced: &state.ConfigReplaced{Base: r.changes, Version: r.changes + 1, Body: body}}) {
			r.changes++
			return
		}
	}
	r.world.t.Errorf("change %d is never confirmed", r.changes+1)
}

// work brings some jobs on their way: accepted, started, ended, forgotten.
func (r *restartWriter) work() {
	r.jobs++
	id := state.JobID(r.jobs)
	worker := fmt.Sprint("w", r.jobs%7)
	run := state.Run{Task: state.TaskName{Job: id}, Attempt: 1}
	r.write(state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: id, Route: fmt.Sprint("r", r.jobs%3), MaxRetries: 2,
		Body: fmt.Appendf(nil, `{"spec":"x%d","note":"%0*d","stages":[{"count":2,"cpu":100}]}`, r.jobs, r.world.note, 0)}})
	r.write(state.Command{Kind: state.KindTasksStarting, TasksStarting: []state.Start{{Run: run, Worker: worker}}})
	if r.jobs > 5 {
		old := r.jobs - 5
		r.write(state.Command{Kind: state.KindTasksEnded, TasksEnded: &state.TasksEnded{Worker: fmt.Sprint("w", old%7), Ends: []state.End{
			{Run: state.Run{Task: state.TaskName{Job: state.JobID(old)}, Attempt: 1}, Number: old, How: state.Done, Checkpoint: "c"}}}})
	}
	if r.jobs%10 == 0 {
		r.write(state.Command{Kind: state.KindWorkerLost, WorkerLost: worker})
		r.write(state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: id}})
	}
	if r.jobs > 60 {
		r.write(state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: id - 60}})
		r.write(state.Command{Kind: state.KindJobsForgotten, JobsForgotten: []state.JobID{id - 60}})
	}
}

// trouble is one fault of one machine, or a loss of power of all, and its end.
func (w *restartWorld) trouble() {
	m := w.machines[w.intn(len(w.machines))]
	if head := w.head(); head != nil && w.intn(3) == 0 {
		m = head
	}
	length := w.between(50*time.Millisecond, 4*time.Second)
	kind := w.intn(9)
	w.trace("trouble %d at %d for %v, committed %d", kind, m.number, length, w.highest())
	switch kind {
	case 0:
		m.kill((*simdisk.Disk).Restart)
	case 1, 2:
		m.kill((*simdisk.Disk).PowerLoss)
	case 3, 4:
		m.kill((*simdisk.Disk).Wipe)
	case 5:
		w.isolate(m, true)
		time.Sleep(length)
		w.isolate(m, false)
		return
	case 6:
		if p := m.running(); p != nil {
			p.loop.post(func() { time.Sleep(length) })
		}
		time.Sleep(length)
		return
	case 7:
		m.refuse()
		time.Sleep(length)
		m.obey()
		return
	case 8:
		for _, one := range w.machines {
			one.kill((*simdisk.Disk).PowerLoss)
		}
	}
	time.Sleep(length)
	for _, one := range w.machines {
		one.start()
	}
	if w.intn(2) == 0 { // cut off in the midst of coming back, at times for so long that the head forgets it
		time.Sleep(w.between(time.Millisecond, 400*time.Millisecond))
		w.isolate(m, true)
		time.Sleep(w.between(time.Millisecond, 4*time.Second) * time.Duration(1+w.intn(4)))
		w.isolate(m, false)
	}
}

// untilWhole waits until all machines are back and tells whether they came in time.
func (w *restartWorld) untilWhole() bool {
	for range int(restartBack / (50 * time.Millisecond)) {
		if w.whole() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// playRestarts makes so many changes, with jobs between, while faults come one after the other.
func playRestarts(t *testing.T, seed uint64, changes int, trace func(string, ...any)) {
	w := newRestartWorld(t, seed)
	if trace != nil {
		w.trace = trace
	}
	require.True(t, w.untilWhole(), "seed %d: the start", seed)
	r := &restartWriter{world: w}
	over := make(chan struct{})
	go func() {
		defer close(over)
		for int(r.changes) < changes && !t.Failed() {
			r.change()
			for range w.intn(4) {
				r.work()
			}
			time.Sleep(w.between(0, 500*time.Millisecond))
		}
	}()
	for done := false; !done; {
		select {
		case <-over:
			done = true
		case <-time.After(w.between(100*time.Millisecond, time.Second)):
			w.trouble()
			if !w.untilWhole() {
				t.Errorf("seed %d: not all are back %v after a fault", seed, restartBack)
				<-over
				done = true
			}
		}
	}
	for _, m := range w.machines {
		m.start()
	}
	r.work()
	assert.True(t, w.untilWhole(), "seed %d: the end", seed)
	reference := w.reference()
	for _, m := range w.machines {
		if p := m.running(); p != nil {
			assert.Equal(t, reference, onLoop(p, p.engine.machine.Snapshot), "seed %d: machine %d", seed, m.number)
		}
	}
	t.Logf("seed %d: %d changes, %d jobs, %d entries, %d snapshots, %d heads, %d refusals", seed, r.changes, r.jobs, w.highest(), w.snapshots,
		w.heads, w.refusals)
	w.stop()
}

// TestRestartsAmongChanges plays random faults. GAUGESLIP_RESTARTS gives the number of seeds, GAUGESLIP_RESTART one seed, with a trace, and
// GAUGESLIP_CHANGES the number of changes of each.
func TestRestartsAmongChanges(t *testing.T) {
	changes := seeds.Count(t, "GAUGESLIP_CHANGES", 60)
	if seed, alone := seeds.Single(t, "GAUGESLIP_RESTART"); alone {
		synctest.Test(t, func(t *testing.T) { playRestarts(t, seed, changes, t.Logf) })
		return
	}
	for seed := range seeds.Count(t, "GAUGESLIP_RESTARTS", 4) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRestarts(t, uint64(seed), changes, nil) })
		})
	}
}

// A bit turns in a replica's state: it stops by itself, wherever it stands, and comes back with the right state.
func TestAStateThatTurnedWrongStopsItsReplica(t *testing.T) {
	for place := range restartReplicas {
		t.Run(strconv.Itoa(place), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newRestartWorld(t, uint64(place))
				require.True(t, w.untilWhole())
				r := &restartWriter{world: w}
				for range 10 {
					r.work()
				}
				victim := w.place(place)
				p := victim.running()
				before := p.engine.replica.Self().ID
				victim.wrong = true
				onLoop(p, func() bool {
					p.engine.machine.Job(9).MaxRetries ^= 1
					return true
				})
				for w.unfitCount() == 0 && r.jobs < 200 {
					r.work()
				}
				assert.Equal(t, 1, w.unfitCount())
				r.change()
				require.True(t, w.untilWhole())
				p = victim.running()
				assert.NotEqual(t, before, p.engine.replica.Self().ID)
				for range 30 {
					r.work()
				}
				require.True(t, w.untilWhole())
				assert.Equal(t, w.reference(), onLoop(p, p.engine.machine.Snapshot))
				assert.Equal(t, 1, w.unfitCount())
				w.stop()
			})
		})
	}
}

// place is the machine at a place of the chain.
func (w *restartWorld) place(at int) *restartMachine {
	head := w.head().running()
	id := onLoop(head, func() string { return string(head.engine.view().Chain[at].ID) })
	for _, m := range w.machines {
		if string(m.running().engine.replica.Self().ID) == id {
			return m
		}
	}
	return nil
}

func (w *restartWorld) unfitCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.unfit
}
