package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/state"
)

// backlogStand is an engine without a core, whose turns of the loop are played one by one.
type backlogStand struct {
	*engine
	turns  []func()
	events []replica.Event
	over   []int // lengths of the backlogs that are over
}

func newBacklogStand() *backlogStand {
	s := &backlogStand{}
	s.engine = &engine{machine: state.New(), audit: state.NewAudit(0), options: engineOptions{
		now:      func() time.Duration { return 0 },
		yield:    func(work func()) { s.turns = append(s.turns, work) },
		event:    func(event replica.Event) { s.events = append(s.events, event) },
		caughtUp: func(entries int, _ time.Duration) { s.over = append(s.over, entries) },
		applied:  func(state.Result) {},
	}}
	return s
}

// entries gives the next ones after so many that are on their way.
func (s *backlogStand) entries(after, count int) (made []chain.Entry) {
	for i := range count {
		made = append(made, chain.Entry{Index: s.appliedTo + uint64(after+i) + 1, Epoch: 1})
	}
	return made
}

// turn plays what waits for a turn of the loop.
func (s *backlogStand) turn() {
	turns := s.turns
	s.turns = nil
	for _, work := range turns {
		work()
	}
}

func (s *backlogStand) turnsLeft() {
	for len(s.turns) > 0 {
		s.turn()
	}
}

// A replica that takes thousands of entries at once, as after a restart, has no time for their digests; it sums up again from there on.
func TestABacklogIsNotSummedUp(t *testing.T) {
	s := newBacklogStand()
	s.applyAll(s.entries(0, state.AuditInterval))
	assert.Len(t, s.digests, 1)
	s.applyAll(s.entries(0, auditBacklog+1))
	s.turnsLeft()
	assert.Len(t, s.digests, 1, "the backlog's")
	s.applyAll(s.entries(0, 2*state.AuditInterval))
	assert.Len(t, s.digests, 2, "of the part that was seen from its start")
}

// No turn of the loop applies more of a backlog than a slice, and what comes meanwhile is applied after it, in order.
func TestABacklogIsAppliedInSlices(t *testing.T) {
	s := newBacklogStand()
	s.applyAll(s.entries(0, 3*applySlice+1))
	assert.Equal(t, uint64(applySlice), s.appliedTo)
	s.turn()
	assert.Equal(t, uint64(2*applySlice), s.appliedTo)
	s.applyAll(s.entries(applySlice+1, 1))
	assert.Equal(t, uint64(2*applySlice), s.appliedTo, "what comes later waits for what came before")
	s.turn()
	require.True(t, s.catchingUp())
	assert.Empty(t, s.over)
	s.turn()
	assert.Equal(t, uint64(3*applySlice+2), s.appliedTo)
	assert.Equal(t, []int{3*applySlice + 2}, s.over)
	assert.False(t, s.catchingUp())
	assert.Empty(t, s.turns)
}

// A read of what the backlog holds is answered in the turn that applies it.
func TestAReadWaitsForItsPartOfABacklog(t *testing.T) {
	s := newBacklogStand()
	s.applyAll(s.entries(0, 3*applySlice))
	var answers []bool
	s.await(applySlice+1, true, func(current bool) { answers = append(answers, current) })
	assert.Empty(t, answers)
	s.turn()
	assert.Equal(t, []bool{true}, answers)
}

// A replica acts as the head only on a state that has all that was committed before.
func TestAHeadActsAfterItsBacklog(t *testing.T) {
	s := newBacklogStand()
	s.applyAll(s.entries(0, 2*applySlice))
	s.tell(replica.BecameHead{Epoch: 4})
	assert.Empty(t, s.events)
	s.tell(replica.BecameHead{Epoch: 5, Continued: true})
	assert.Empty(t, s.events)
	s.turnsLeft()
	assert.Equal(t, []replica.Event{replica.BecameHead{Epoch: 5}}, s.events, "the first was never told, so nothing goes on")
	s.tell(replica.BecameHead{Epoch: 6, Continued: true})
	assert.Equal(t, replica.BecameHead{Epoch: 6, Continued: true}, s.events[1], "without a backlog it is told at once")
}

// One that has lost the lease meanwhile doesn't begin to act when its backlog is over.
func TestALostHeadDoesNotActAfterItsBacklog(t *testing.T) {
	s := newBacklogStand()
	s.applyAll(s.entries(0, 2*applySlice))
	s.tell(replica.BecameHead{Epoch: 4})
	s.tell(replica.LostHead{Epoch: 4})
	s.turnsLeft()
	assert.Equal(t, []replica.Event{replica.LostHead{Epoch: 4}}, s.events)
}

// A view is told at once, and reads that wait are refused with it, whatever waits to be applied.
func TestAViewIsNotHeldBackByABacklog(t *testing.T) {
	s := newBacklogStand()
	s.applyAll(s.entries(0, 2*applySlice))
	var answers []bool
	s.await(2*applySlice, true, func(current bool) { answers = append(answers, current) })
	s.tell(replica.ViewChanged{View: view.View{Epoch: 2}})
	assert.Len(t, s.events, 1)
	assert.Equal(t, []bool{false}, answers)
}

// What waits of a dropped backlog is never applied on top of another state.
func TestADroppedBacklogIsNotContinued(t *testing.T) {
	s := newBacklogStand()
	s.applyAll(s.entries(0, 2*applySlice))
	s.backlog.drop()
	s.appliedTo = 9 * applySlice
	s.applyAll(s.entries(0, 2*applySlice))
	require.Len(t, s.turns, 2)
	s.turns[0]()
	assert.Equal(t, uint64(10*applySlice), s.appliedTo, "the turn of the one that was dropped")
	s.turns[1]()
	assert.Equal(t, uint64(11*applySlice), s.appliedTo)
	assert.Equal(t, []int{2 * applySlice}, s.over)
}
