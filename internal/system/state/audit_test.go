package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// audited is a state with its audit, fed entry by entry.
type audited struct {
	*Machine
	audit *Audit
	index uint64
}

func newAudited(index uint64) *audited {
	return &audited{Machine: New(), audit: NewAudit(index), index: index}
}

// feed applies a command; nil is an empty entry.
func (a *audited) feed(command *Command) (digest uint64, due bool) {
	a.index++
	if command == nil {
		return a.audit.RecordEntry(a.index, nil, nil, a.Machine)
	}
	data := command.Encode()
	result := a.ApplyBytes(data)
	return a.audit.RecordEntry(a.index, data, &result, a.Machine)
}

// restored is the same state by way of a snapshot.
func (a *audited) restored(t require.TestingT) *audited {
	other := newAudited(a.index)
	require.NoError(t, other.Restore(a.Snapshot()))
	return other
}

// Two replicas with the same entries have the same digests, also where one of them has its state from a snapshot.
func TestDigestsOfTheSameStateAreTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAudited(0)
		var other *audited
		from := rapid.IntRange(0, 2*AuditInterval).Draw(t, "from")
		compared := 0
		for i := range 4 * AuditInterval {
			if i == from {
				other = a.restored(t)
			}
			command := drawCommand(t)
			digest, due := a.feed(&command)
			require.Equal(t, (i+1)%AuditInterval == 0, due)
			if other == nil {
				continue
			}
			if again, due := other.feed(&command); due {
				require.Equal(t, digest, again, "at %d", i+1)
				compared++
			}
		}
		require.GreaterOrEqual(t, compared, 1)
	})
}

// populated is a state with so many jobs, of which each has a task that runs.
func populated(jobs int) *audited {
	a := newAudited(0)
	for id := range jobs {
		a.feed(&Command{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: JobID(id + 1), Route: "r", MaxRetries: 2,
			Body: []byte(`{"spec":"x","stages":[{"count":2,"cpu":100}]}`)}})
		a.feed(&Command{Kind: KindTasksStarting, TasksStarting: []Start{{Run: Run{Task: TaskName{Job: JobID(id + 1)}, Attempt: 1},
			Worker: fmt.Sprint("w", id%50)}}})
	}
	return a
}

// found tells whether two states are told apart within as many digests as look at all of a state of that size.
func found(t *testing.T, one, other *audited) bool {
	t.Helper()
	turns := 1
	for jobs := len(one.jobs); jobs >= auditJobs; jobs /= 2 {
		turns *= 2
	}
	for range (turns + 2) * AuditInterval {
		digest, due := one.feed(nil)
		again, dueToo := other.feed(nil)
		require.True(t, due == dueToo || !dueToo)
		if due && dueToo && digest != again {
			return true
		}
	}
	return false
}

func TestAnyDifferenceOfTheStateIsFound(t *testing.T) {
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
				one.feed(&Command{Kind: KindConfigReplaced, ConfigReplaced: &ConfigReplaced{Version: 1, Body: []byte("{ }")}})
				other := one.restored(t)
				change(other.Machine)
				assert.Equal(t, name != "nothing", found(t, one, other))
			})
		}
	}
}

// The same entries must come to the same also where it leaves no trace in the state.
func TestADifferenceOfEntriesOrOutcomesIsFound(t *testing.T) {
	cancel := Command{Kind: KindJobCancelled, JobCancelled: &JobCancelled{ID: 9}}
	lose := Command{Kind: KindWorkerLost, WorkerLost: "none"}
	run := func(last func(a *audited)) uint64 {
		a := newAudited(0)
		for range AuditInterval - 2 {
			a.feed(nil)
		}
		last(a)
		digest, due := a.feed(nil)
		require.True(t, due)
		return digest
	}
	plain := run(func(a *audited) { a.feed(&cancel) })
	assert.Equal(t, plain, run(func(a *audited) { a.feed(&cancel) }))
	assert.NotEqual(t, plain, run(func(a *audited) { a.feed(&lose) }), "another entry")
	assert.NotEqual(t, plain, run(func(a *audited) { a.feed(nil) }), "no entry")
	assert.NotEqual(t, plain, run(func(a *audited) {
		a.index++
		result := a.Apply(cancel)
		result.Outcome = Repeated
		a.audit.RecordEntry(a.index, cancel.Encode(), &result, a.Machine)
	}), "another outcome")
	touched := func(state JobState) uint64 {
		return run(func(a *audited) {
			a.index++
			job := &Job{JobAccepted: JobAccepted{ID: 1}, State: state}
			a.audit.RecordEntry(a.index, cancel.Encode(), &Result{Jobs: []*Job{job}}, a.Machine)
		})
	}
	assert.NotEqual(t, touched(Pending), touched(Running), "another effect on a job")
}

// A digest of which entries are missing can't be compared, and isn't given.
func TestADigestNeedsAllItsEntries(t *testing.T) {
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

// What goes into a digest must not change under the same format: replicas of two versions would take each other for broken.
func TestTheFormatOfDigestsIsPinned(t *testing.T) {
	a := populated(40)
	var digest uint64
	for due := false; !due; {
		digest, due = a.feed(nil)
	}
	require.Equal(t, 1, AuditFormat)
	require.Equal(t, uint64(0xaf1f1d266b237885), digest, "raise AuditFormat, then pin the new digest")
}

func BenchmarkAudit(b *testing.B) {
	a := populated(20_000)
	for b.Loop() {
		a.feed(nil)
	}
}
