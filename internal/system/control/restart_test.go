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

// restartRecoveryTime bounds the time until all machines are back after the last fault.
const restartRecoveryTime = 10 * time.Second

// restartWriter writes configurations and jobs at the head, one after the other.
type restartWriter struct {
	sim     *restartSim
	changes uint64 // confirmed configurations
	jobs    uint64
}

// write proposes one command at the head, if there is one, and reports whether it was committed.
func (r *restartWriter) write(command state.Command) bool {
	head := r.sim.head()
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
		p.engine.propose(command, func(result state.Result, status commitStatus) {
			answers <- status == statusCommitted && result.Outcome <= state.Repeated
		})
	})
	select {
	case done := <-answers:
		return done
	case <-time.After(2 * time.Second):
		return false
	}
}

// change puts the next configuration in force. It repeats the same one until that is confirmed.
func (r *restartWriter) change() {
	for try := 0; try < 200; try++ {
		body := fmt.Appendf(nil, `{"version":%d}`, r.changes+1)
		if r.write(state.Command{Kind: state.KindConfigReplaced,
			ConfigReplaced: &state.ConfigReplaced{Base: r.changes, Version: r.changes + 1, Body: body}}) {
			r.changes++
			return
		}
	}
	r.sim.t.Errorf("change %d is not confirmed", r.changes+1)
}

// writeJobs writes commands that accept, start, end, cancel and forget jobs.
func (r *restartWriter) writeJobs() {
	r.jobs++
	id := state.JobID(r.jobs)
	worker := fmt.Sprint("w", r.jobs%7)
	run := state.Run{Task: state.TaskName{Job: id}, Attempt: 1}
	r.write(state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: id, Route: fmt.Sprint("r", r.jobs%3), MaxRetries: 2,
		Body: fmt.Appendf(nil, `{"spec":"x%d","note":"%0*d","stages":[{"count":2,"cpu":100}]}`, r.jobs, r.sim.noteBytes, 0)}})
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

// injectFault causes one fault of one machine, or a loss of power of all machines, and ends it.
func (w *restartSim) injectFault() {
	m := w.machines[w.intn(len(w.machines))]
	if head := w.head(); head != nil && w.intn(3) == 0 {
		m = head
	}
	length := w.randomDuration(50*time.Millisecond, 4*time.Second)
	kind := w.intn(9)
	w.trace("fault %d at %d for %v, committed %d", kind, m.number, length, w.maxApplied())
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
		m.failDisk()
		time.Sleep(length)
		m.repairDisk()
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
	if w.intn(2) == 0 { // cut off while it rejoins, at times for so long that the head forgets it
		time.Sleep(w.randomDuration(time.Millisecond, 400*time.Millisecond))
		w.isolate(m, true)
		time.Sleep(w.randomDuration(time.Millisecond, 4*time.Second) * time.Duration(1+w.intn(4)))
		w.isolate(m, false)
	}
}

// waitComplete waits until all machines are back and reports whether they were in time.
func (w *restartSim) waitComplete() bool {
	for range int(restartRecoveryTime / (50 * time.Millisecond)) {
		if w.isComplete() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// runRestarts makes the given number of changes, with jobs in between, while faults follow each other.
func runRestarts(t *testing.T, seed uint64, changes int, trace func(string, ...any)) {
	w := newRestartSim(t, seed)
	if trace != nil {
		w.trace = trace
	}
	require.True(t, w.waitComplete(), "seed %d: the start", seed)
	r := &restartWriter{sim: w}
	over := make(chan struct{})
	go func() {
		defer close(over)
		for int(r.changes) < changes && !t.Failed() {
			r.change()
			for range w.intn(4) {
				r.writeJobs()
			}
			time.Sleep(w.randomDuration(0, 500*time.Millisecond))
		}
	}()
	for done := false; !done; {
		select {
		case <-over:
			done = true
		case <-time.After(w.randomDuration(100*time.Millisecond, time.Second)):
			w.injectFault()
			if !w.waitComplete() {
				t.Errorf("seed %d: not all are back %v after a fault", seed, restartRecoveryTime)
				<-over
				done = true
			}
		}
	}
	for _, m := range w.machines {
		m.start()
	}
	r.writeJobs()
	assert.True(t, w.waitComplete(), "seed %d: the end", seed)
	reference := w.reference()
	for _, m := range w.machines {
		if p := m.running(); p != nil {
			assert.Equal(t, reference, onLoop(p, p.engine.machine.Snapshot), "seed %d: machine %d", seed, m.number)
		}
	}
	t.Logf("seed %d: %d changes, %d jobs, %d entries, %d snapshots, %d heads, %d refusals", seed, r.changes, r.jobs, w.maxApplied(), w.snapshots,
		w.heads, w.diskFailures)
	w.stop()
}

// TestRestartsAmongChanges runs random faults. GAUGESLIP_RESTARTS sets the number of seeds, GAUGESLIP_RESTART one seed, with a trace, and
// GAUGESLIP_CHANGES the number of changes of each seed.
func TestRestartsAmongChanges(t *testing.T) {
	changes := seeds.Count(t, "GAUGESLIP_CHANGES", 60)
	if seed, alone := seeds.Single(t, "GAUGESLIP_RESTART"); alone {
		synctest.Test(t, func(t *testing.T) { runRestarts(t, seed, changes, t.Logf) })
		return
	}
	for seed := range seeds.Count(t, "GAUGESLIP_RESTARTS", 4) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRestarts(t, uint64(seed), changes, nil) })
		})
	}
}

// A bit flips in a replica's state. The replica stops by itself, at any position in the chain, and comes back with the right state.
func TestReplicaWithDivergedStateStops(t *testing.T) {
	for place := range restartReplicas {
		t.Run(strconv.Itoa(place), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newRestartSim(t, uint64(place))
				require.True(t, w.waitComplete())
				r := &restartWriter{sim: w}
				for range 10 {
					r.writeJobs()
				}
				victim := w.machineAtPosition(place)
				p := victim.running()
				before := p.engine.replica.Self().ID
				victim.stateCorrupted = true
				onLoop(p, func() bool {
					p.engine.machine.Job(9).MaxRetries ^= 1
					return true
				})
				for w.unfitCount() == 0 && r.jobs < 200 {
					r.writeJobs()
				}
				assert.Equal(t, 1, w.unfitCount())
				r.change()
				require.True(t, w.waitComplete())
				p = victim.running()
				assert.NotEqual(t, before, p.engine.replica.Self().ID)
				for range 30 {
					r.writeJobs()
				}
				require.True(t, w.waitComplete())
				assert.Equal(t, w.reference(), onLoop(p, p.engine.machine.Snapshot))
				assert.Equal(t, 1, w.unfitCount())
				w.stop()
			})
		})
	}
}

// machineAtPosition returns the machine at a position of the chain.
func (w *restartSim) machineAtPosition(at int) *restartMachine {
	head := w.head().running()
	id := onLoop(head, func() string { return string(head.engine.view().Chain[at].ID) })
	for _, m := range w.machines {
		if string(m.running().engine.replica.Self().ID) == id {
			return m
		}
	}
	return nil
}

func (w *restartSim) unfitCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.unfit
}
