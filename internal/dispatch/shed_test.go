package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/overload"
	"gaugeslip/policy"
)

// A refusal at the door is the job's one answer, comes in the same Step, and the module never hears of the job. The gate learns
// from the module's refusals and late ends, and lets all in again when they are over. Jobs that waited pass.
func TestShedGate(t *testing.T) {
	core := bare(t)
	cfg := core.cfg
	cfg.MaxRetryAfter = 2 * time.Second
	l := overload.Defaults()
	g, err := NewShedGate(l, cfg)
	require.NoError(t, err)
	c := NewChain(core, Gates{Shed: g})
	now, next := 1000*time.Second, uint64(0)
	arrive := func(change func(*JobArrived)) (id uint64, out []Command) {
		next++
		now += 10 * time.Millisecond
		a := JobArrived{Job: next, Class: 0, Tenant: -1, At: now, Budget: time.Second, Size: 100 * time.Millisecond, Slots: 1, Key: next, Keyed: true}
		if change != nil {
			change(&a)
		}
		return next, c.Step(now, []Message{a})
	}
	shed := 0
	for range 600 { // no host at all: the module refuses whatever comes
		open := core.OpenJobs()
		id, out := arrive(nil)
		answers := 0
		for _, x := range out {
			if r, ok := x.(LocalReply); ok && r.Job == id {
				answers++
				require.True(t, r.Refused)
				require.LessOrEqual(t, r.RetryAfter, cfg.MaxRetryAfter)
			}
		}
		require.Equal(t, 1, answers)
		require.Equal(t, open, core.OpenJobs())
	}
	for class := range cfg.Classes {
		shed += int(g.RefusedJobs(class))
	}
	assert.Greater(t, shed, 100)
	assert.Less(t, g.AdmittedShare(), 0.6)
	assert.Empty(t, g.open)
	for range 50 {
		before := g.RefusedJobs(0)
		arrive(func(a *JobArrived) { a.Waited = time.Second })
		assert.Equal(t, before, g.RefusedJobs(0), "its wait was its own wish")
	}
	// A late end, and a client that leaves, are no room; a job that fails says nothing.
	for _, m := range []Message{ClientGone{Job: 1 << 40}, AttemptEnded{Key: Key{Job: 1 << 40}, Result: policy.OK}} {
		g.shedder.JobEnded(0, overload.InTime)
		before := g.AdmittedShare()
		g.open[1<<40] = &passed{class: 0, came: now - time.Hour, size: 100 * time.Millisecond}
		c.Step(now, []Message{m})
		assert.Less(t, g.AdmittedShare(), before+0.001, "%T", m)
		assert.Empty(t, g.open)
	}
	now += time.Minute
	arrive(nil)
	assert.Equal(t, 1.0, g.AdmittedShare(), "after a minute without news")
	assert.Empty(t, g.Recreate().(*ShedGate).open)
}
