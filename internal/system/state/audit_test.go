package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// auditedMachine is a state with its audit.
type auditedMachine struct {
	*Machine
	audit *Audit
	index uint64
}

func newAuditedMachine(index uint64) *auditedMachine {
	return &auditedMachine{Machine: New(), audit: NewAudit(index), index: index}
}

// apply applies a command. A nil command is an empty entry.
func (a *auditedMachine) apply(command *Command) (digest uint64, due bool) {
	a.index++
	if command == nil {
		return a.audit.RecordEntry(a.index, nil, nil, a.Machine)
	}
	data := command.Encode()
	result := a.ApplyBytes(data)
	return a.audit.RecordEntry(a.index, data, &result, a.Machine)
}

// restored returns a copy of the state, made by way of a snapshot.
func (a *auditedMachine) restored(t require.TestingT) *auditedMachine {
	other := newAuditedMachine(a.index)
	require.NoError(t, other.Restore(a.Snapshot()))
	return other
}

// Replicas with the same entries have the same digests, also if one of them started from a snapshot.
func TestEqualStatesHaveEqualDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAuditedMachine(0)
		var other *auditedMachine
		from := rapid.IntRange(0, 2*AuditInterval).Draw(t, "from")
		compared := 0
		for i := range 4 * AuditInterval {
			if i == from {
				other = a.restored(t)
			}
			command := drawCommand(t)
			digest, due := a.apply(&command)
			require.Equal(t, (i+1)%AuditInterval == 0, due)
			if other == nil {
				continue
			}
			if otherDigest, due := other.apply(&command); due {
				require.Equal(t, digest, otherDigest, "at %d", i+1)
				compared++
			}
		}
		require.GreaterOrEqual(t, compared, 1)
	})
}

// populated returns a state with the given number of jobs, each with one running task.
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

// differenceFound reports whether the digests of two states differ within the number of digests that cover the whole state.
func differenceFound(t *testing.T, one, other *auditedMachine) bool {
	t.Helper()
	turns := 1
	for jobs := len(one.jobs); jobs >= jobsPerDigest; jobs /= 2 {
		turns *= 2
	}
	for range (turns + 2) * AuditInterval {
		digest, due := one.apply(nil)
		otherDigest, otherDue := other.apply(nil)
		require.True(t, due == otherDue || !otherDue)
		if due && otherDue && digest != otherDigest {
			return true
		}
	}
	return false
}

func TestAuditDetectsStateDifferences(t *testing.T) {
	changes := map[string]func(m *Machine){
		"nothing":             func(*Machine) {},
		"a job's state":       func(m *Machine) { m.jobs[77].State = Completed },
		"a job's retry limit": func(m *Machine) { m.jobs[77].MaxRetries ^= 1 },
		"a job's body":        func(m *Machine) { m.jobs[77].Body[3] ^= 1 },
		"a job's tenant":      func(m *Machine) { m.jobs[77].Tenant = "other" },
		"a task's attempt":    func(m *Machine) { m.jobs[77].Times[0].Steps[0].Tasks[0].Attempt++ },
		"a done task":         func(m *Machine) { m.jobs[77].Times[0].Steps[0].Tasks[1].Done = true },
		"a run's worker":      func(m *Machine) { m.jobs[77].Times[0].Steps[0].Tasks[0].Placements[0].Worker = "w1x" },
		"a job's run count":   func(m *Machine) { m.jobs[77].Runs++ },
		"a missing job":       func(m *Machine) { delete(m.jobs, 77) },
		"an extra job":        func(m *Machine) { m.jobs[1e6] = &Job{JobAccepted: JobAccepted{ID: 1e6}, State: Completed} },
		"a worker's last end": func(m *Machine) { m.workers["w7"].LastSeen ^= 1 << 40 },
		"a worker's run":      func(m *Machine) { m.workers["w7"].Runs[Run{Attempt: 99}] = struct{}{} },
		"a missing worker":    func(m *Machine) { delete(m.workers, "w7") },
		"the configuration":   func(m *Machine) { m.config.Body = []byte("{}") },
		"the version":         func(m *Machine) { m.config.Version ^= 1 },
		"an earlier version":  func(m *Machine) { m.history[0].sum ^= 1 },
		"a route's job count": func(m *Machine) { m.pending["r"]++ },
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

// Differences must show in the digest even if they leave no trace in the state.
func TestAuditDetectsEntryAndOutcomeDifferences(t *testing.T) {
	cancel := Command{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: 9}}
	lose := Command{Kind: KindWorkerLost, WorkerLost: "none"}
	run := func(last func(a *auditedMachine)) uint64 {
		a := newAuditedMachine(0)
		for range AuditInterval - 2 {
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
		a.audit.RecordEntry(a.index, cancel.Encode(), &result, a.Machine)
	}), "another outcome")
	touched := func(state JobState) uint64 {
		return run(func(a *auditedMachine) {
			a.index++
			job := &Job{JobAccepted: JobAccepted{ID: 1}, State: state}
			a.audit.RecordEntry(a.index, cancel.Encode(), &Result{Jobs: []*Job{job}}, a.Machine)
		})
	}
	assert.NotEqual(t, touched(Pending), touched(Running), "another effect on a job")
}

// A digest with missing entries can't be compared and must not be due.
func TestNoDigestWithMissingEntries(t *testing.T) {
	m := New()
	for _, start := range []uint64{0, 1, AuditInterval - 1, AuditInterval} {
		a := NewAudit(start)
		for index := start + 1; index <= 2*AuditInterval; index++ {
			_, due := a.RecordEntry(index, nil, nil, m)
			assert.Equal(t, index%AuditInterval == 0 && index >= start+AuditInterval, due, "from %d at %d", start, index)
		}
	}
	a := NewAudit(0)
	for index := uint64(1); index <= AuditInterval; index++ {
		if index == 5 {
			continue
		}
		_, due := a.RecordEntry(index, nil, nil, m)
		assert.False(t, due)
	}
}

// The digest's definition must not change without a new AuditFormat: replicas of two versions would report each other as broken.
func TestDigestFormatIsPinned(t *testing.T) {
	a := populated(40)
	var digest uint64
	for due := false; !due; {
		digest, due = a.apply(nil)
	}
	require.Equal(t, 2, AuditFormat)
	require.Equal(t, uint64(0xaf1f1d266b237885), digest, "raise AuditFormat, then pin the new digest")
}

func BenchmarkAudit(b *testing.B) {
	a := populated(20_000)
	for b.Loop() {
		a.apply(nil)
	}
}
