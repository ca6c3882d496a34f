package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// auditedMachine is a state with its audit, fed entry by entry.
type auditedMachine struct {
	*Machine
	audit *Audit
	index uint64
}

func newAuditedMachine(index uint64) *auditedMachine {
	return &auditedMachine{Machine: New(), audit: NewAudit(index), index: index}
}

// apply applies a command; nil is an empty entry.
func (a *auditedMachine) apply(command *Command) (digest uint64, due bool) {
	a.index++
	if command == nil {
		return a.audit.Applied(a.index, nil, nil, a.Machine)
	}
	data := command.Encode()
	result := a.ApplyBytes(data)
	return a.audit.Applied(a.index, data, &result, a.Machine)
}

// restored is the same state by way of a snapshot.
func (a *auditedMachine) restored(t require.TestingT) *auditedMachine {
	other := newAuditedMachine(a.index)
	require.NoError(t, other.Restore(a.Snapshot()))
	return other
}

// Two replicas with the same entries have the same digests, also where one of them has its state from a snapshot.
func TestEqualStatesHaveEqualDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAuditedMachine(0)
		var other *auditedMachine
		from := rapid.IntRange(0, 2*AuditEvery).Draw(t, "from")
		compared := 0
		for i := range 4 * AuditEvery {
			if i == from {
				other = a.restored(t)
			}
			command := drawCommand(t)
			digest, due := a.apply(&command)
			require.Equal(t, (i+1)%AuditEvery == 0, due)
			if other == nil {
				continue
			}
			if again, due := other.apply(&command); due {
				require.Equal(t, digest, again, "at %d", i+1)
				compared++
			}
		}
		require.GreaterOrEqual(t, compared, 1)
	})
}

// populated is a state with so many jobs, of which each has a task that runs.
func populated(jobs int) *auditedMachine {
	a := newAuditedMachine(0)
	for id := range jobs {
		a.apply(&Command{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: JobID(id + 1), Route: "r", MaxRetries: 2,
			Body: []byte(`{"spec":"x","stages":[{"count":2,"cpu":100}]}`)}})
		a.apply(&Command{Kind: KindTasksStarting, TasksStarting: []Start{{Run: Run{Task: TaskName{Job: JobID(id + 1)}, Attempt: 1},
			Worker: fmt.Sprint("w", id%50)}}})
	}
	return a
}

// differenceFound tells whether two states are told apart within as many digests as look at all of a state of that size.
func differenceFound(t *testing.T, one, other *auditedMachine) bool {
	t.Helper()
	turns := 1
	for jobs := len(one.jobs); jobs >= jobsPerDigest; jobs /= 2 {
		turns *= 2
	}
	for range (turns + 2) * AuditEvery {
		digest, due := one.apply(nil)
		again, dueToo := other.apply(nil)
		require.True(t, due == dueToo || !dueToo)
		if due && dueToo && digest != again {
			return true
		}
	}
	return false
}

func TestAuditDetectsStateDifferences(t *testing.T) {
	changes := map[string]func(m *Machine){
		"nothing":              func(*Machine) {},
		"a job's state":        func(m *Machine) { m.jobs[77].State = Completed },
		"a job's limit":        func(m *Machine) { m.jobs[77].MaxRetries ^= 1 },
		"a job's body":         func(m *Machine) { m.jobs[77].Body[3] ^= 1 },
		"a job's tenant":       func(m *Machine) { m.jobs[77].Tenant = "other" },
		"a task's attempt":     func(m *Machine) { m.jobs[77].Times[0].Steps[0].Tasks[0].Attempt++ },
		"a task that is done":  func(m *Machine) { m.jobs[77].Times[0].Steps[0].Tasks[1].Done = true },
		"a run's place":        func(m *Machine) { m.jobs[77].Times[0].Steps[0].Tasks[0].Placements[0].Worker = "w1x" },
		"a count of runs":      func(m *Machine) { m.jobs[77].Runs++ },
		"a job that is gone":   func(m *Machine) { delete(m.jobs, 77) },
		"a job too many":       func(m *Machine) { m.jobs[1e6] = &Job{JobAccepted: JobAccepted{ID: 1e6}, State: Completed} },
		"a worker's number":    func(m *Machine) { m.workers["w7"].LastSeen ^= 1 << 40 },
		"a worker's run":       func(m *Machine) { m.workers["w7"].Runs[Run{Attempt: 99}] = struct{}{} },
		"a worker that's gone": func(m *Machine) { delete(m.workers, "w7") },
		"the configuration":    func(m *Machine) { m.config.Body = []byte("{}") },
		"its version":          func(m *Machine) { m.config.Version ^= 1 },
		"a version before":     func(m *Machine) { m.history[0].sum ^= 1 },
		"a count of jobs":      func(m *Machine) { m.pending["r"]++ },
	}
	for _, jobs := range []int{100, 2000} {
		for name, change := range changes {
			t.Run(fmt.Sprint(name, "/", jobs), func(t *testing.T) {
				one := populated(jobs)
				one.apply(&Command{Kind: KindConfigReplaced, ConfigReplaced: &ConfigReplaced{Version: 1, Body: []byte("{ }")}})
				other := one.restored(t)
				change(other.Machine)
				assert.Equal(t, name != "nothing", differenceFound(t, one, other))
			})
		}
	}
}

// The same entries must come to the same also where it leaves no trace in the state.
func TestAuditDetectsEntryAndOutcomeDifferences(t *testing.T) {
	cancel := Command{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: 9}}
	lose := Command{Kind: KindWorkerLost, WorkerLost: "none"}
	run := func(last func(a *auditedMachine)) uint64 {
		a := newAuditedMachine(0)
		for range AuditEvery - 2 {
			a.apply(nil)
		}
		last(a)
		digest, due := a.apply(nil)
		require.True(t, due)
		return digest
	}
	plain := run(func(a *auditedMachine) { a.apply(&cancel) })
	assert.Equal(t, plain, run(func(a *auditedMachine) { a.apply(&cancel) }))
	assert.NotEqual(t, plain, run(func(a *auditedMachine) { a.apply(&lose) }), "another entry")
	assert.NotEqual(t, plain, run(func(a *auditedMachine) { a.apply(nil) }), "no entry")
	assert.NotEqual(t, plain, run(func(a *auditedMachine) {
		a.index++
		result := a.Apply(cancel)
		result.Outcome = Repeated
		a.audit.Applied(a.index, cancel.Encode(), &result, a.Machine)
	}), "another outcome")
	touched := func(state JobState) uint64 {
		return run(func(a *auditedMachine) {
			a.index++
			job := &Job{JobAccepted: JobAccepted{ID: 1}, State: state}
			a.audit.Applied(a.index, cancel.Encode(), &Result{Jobs: []*Job{job}}, a.Machine)
		})
	}
	assert.NotEqual(t, touched(Pending), touched(Running), "another effect on a job")
}

// A digest of which entries are missing can't be compared, and isn't given.
func TestNoDigestWithMissingEntries(t *testing.T) {
	m := New()
	for _, start := range []uint64{0, 1, AuditEvery - 1, AuditEvery} {
		a := NewAudit(start)
		for index := start + 1; index <= 2*AuditEvery; index++ {
			_, due := a.Applied(index, nil, nil, m)
			assert.Equal(t, index%AuditEvery == 0 && index >= start+AuditEvery, due, "from %d at %d", start, index)
		}
	}
	a := NewAudit(0)
	for index := uint64(1); index <= AuditEvery; index++ {
		if index == 5 {
			continue
		}
		_, due := a.Applied(index, nil, nil, m)
		assert.False(t, due)
	}
}

// What goes into a digest must not change under the same format: replicas of two versions would take each other for broken.
func TestDigestFormatIsPinned(t *testing.T) {
	a := populated(40)
	var digest uint64
	for due := false; !due; {
		digest, due = a.apply(nil)
	}
	require.Equal(t, 1, AuditFormat)
	require.Equal(t, uint64(0xaf1f1d266b237885), digest, "raise AuditFormat, then pin the new digest")
}

func BenchmarkAudit(b *testing.B) {
	a := populated(20_000)
	for b.Loop() {
		a.apply(nil)
	}
}
