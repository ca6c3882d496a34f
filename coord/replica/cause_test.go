package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/view"
)

// causes holds the causes of the views that machines adopted, except for those that they only learned.
type causes struct{ seen []Cause }

// observeCauses records the causes of all views from now on.
func observeCauses(w *world) *causes {
	c := &causes{}
	w.trace = func(_ string, args ...any) {
		for _, arg := range args {
			if changed, ok := arg.(ViewChanged); ok && changed.Cause.Kind != CauseLearnt {
				c.seen = append(c.seen, changed.Cause)
				return
			}
		}
	}
	return c
}

func (c *causes) first(t *testing.T) Cause {
	require.NotEmpty(t, c.seen)
	return c.seen[0]
}

// machineAt returns the machine at a place in the chain.
func (w *world) machineAt(place int) *machine {
	id := w.head().process.View().Chain[place].ID
	for _, m := range w.machines {
		if m.process != nil && m.process.Self().ID == id {
			return m
		}
	}
	return nil
}

func TestElectionCauseHasHeadSilence(t *testing.T) {
	w := newCalmWorld(t, 1, 3, 0, 1)
	head, successor := w.head(), w.machineAt(1)
	c := observeCauses(w)
	head.kill()
	w.run(w.now + 2*time.Second)
	cause := c.first(t)
	assert.Equal(t, CauseHeadSilent, cause.Kind)
	assert.Equal(t, view.ReplicaID(head.address), cause.Member)
	assert.Greater(t, cause.Silence, DefaultGrant)
	assert.Greater(t, cause.Silence+time.Millisecond, cause.Patience)
	assert.Contains(t, cause.Answered, successor.process.Self().ID)
	assert.NoError(t, w.failure)
}

func TestDropCauseHasMemberSilence(t *testing.T) {
	w := newCalmWorld(t, 2, 3, 0, 1)
	victim := w.machineAt(1)
	id := victim.process.Self().ID
	victim.process.cfg.StallAfter = time.Hour
	w.head().process.cfg.StallAfter = time.Hour
	c := observeCauses(w)
	victim.kill()
	w.run(w.now + 2*time.Second)
	cause := c.first(t)
	assert.Equal(t, CauseSilent, cause.Kind)
	assert.Equal(t, id, cause.Member)
	assert.Greater(t, cause.Silence-cause.Paused, DefaultDropAfter)
	assert.Equal(t, DefaultDropAfter, cause.Patience)
}

func TestDropCauseOfStalledDiskIsStuck(t *testing.T) {
	w := newCalmWorld(t, 3, 3, 0, 1)
	victim := w.machineAt(2)
	id := victim.process.Self().ID
	c := observeCauses(w)
	victim.stalledUntil = w.now + time.Hour
	w.run(w.now + 2*time.Second)
	cause := c.first(t)
	assert.Equal(t, CauseStuck, cause.Kind)
	assert.Equal(t, id, cause.Member)
	assert.Greater(t, cause.Stuck, cause.Patience)
	assert.NotZero(t, cause.Index)
}

func TestHandoverCauseOfStalledHeadIsOwnDisk(t *testing.T) {
	w := newCalmWorld(t, 4, 3, 0, 1)
	c := observeCauses(w)
	head := w.head()
	head.stalledUntil = w.now + time.Hour
	w.run(w.now + 2*time.Second)
	cause := c.first(t)
	assert.Equal(t, CauseOwnDisk, cause.Kind)
	assert.Greater(t, cause.Stuck, cause.Patience)
	assert.GreaterOrEqual(t, cause.Sync, cause.Stuck)
}

func TestLeaveAndHandoverCauses(t *testing.T) {
	w := newCalmWorld(t, 5, 3, 0, 1)
	c := observeCauses(w)
	leaver := w.machineAt(2)
	leaver.input(Leave{})
	w.run(w.now + time.Second)
	assert.Equal(t, CauseLeaver, c.first(t).Kind)
	assert.Equal(t, leaver.process.Self().ID, c.first(t).Member)
	w = newCalmWorld(t, 5, 3, 0, 1) // with one member gone no other can be spared
	c = observeCauses(w)
	w.head().input(Leave{})
	w.run(w.now + time.Second)
	assert.Equal(t, CauseHandover, c.first(t).Kind)
}

func TestAdmissionCauseNamesLearner(t *testing.T) {
	w := newCalmWorld(t, 6, 3, 0, 1)
	victim := w.machineAt(2)
	id := victim.process.Self().ID
	victim.kill()
	w.run(w.now + 2*time.Second)
	c := observeCauses(w)
	victim.start()
	w.run(w.now + 4*time.Second)
	cause := c.first(t)
	assert.Equal(t, CauseLearner, cause.Kind)
	assert.Equal(t, id, cause.Member)
}

func TestLostLeaseCauseHasSilence(t *testing.T) {
	w := newCalmWorld(t, 7, 3, 0, 1)
	c := observeCauses(w)
	var lost []LostHead
	trace := w.trace
	w.trace = func(format string, args ...any) {
		trace(format, args...)
		for _, arg := range args {
			if event, ok := arg.(LostHead); ok {
				lost = append(lost, event)
			}
		}
	}
	head := w.head()
	for _, m := range w.machines {
		w.cuts[[2]string{m.address, head.address}] = w.now + 1200*time.Millisecond
		w.cuts[[2]string{head.address, m.address}] = w.now + 1200*time.Millisecond
	}
	w.run(w.now + 3*time.Second)
	require.NotEmpty(t, lost)
	assert.Equal(t, CauseLease, lost[0].Cause.Kind)
	assert.Greater(t, lost[0].Cause.Silence, DefaultGrant/2)
	assert.Equal(t, CauseHeadSilent, c.first(t).Kind)
}
