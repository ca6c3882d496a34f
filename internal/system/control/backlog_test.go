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

// backlogHarness is an engine without a core, whose turns of the loop are played one by one.
type backlogHarness struct {
	*engine
	turns    []func()
	events   []replica.Event
	finished []int // lengths of the backlogs that are over
}

func newBacklogHarness() *backlogHarness {
	s := &backlogHarness{}
	s.engine = &engine{machine: state.New(), audit: state.NewAudit(0), options: engineOptions{
		now:          func() time.Duration { return 0 },
		postDeferred: func(work func()) { s.turns = append(s.turns, work) },
		event:        func(event replica.Event) { s.events = append(s.events, event) },
		caughtUp:     func(entries int, _ time.Duration) { s.finished = append(s.finished, entries) },
		applied:      func(state.Result) {},
	}}
	return s
}

// entries gives the next ones after so many that are on their way.
func (s *backlogHarness) entries(after, count int) (made []chain.Entry) {
	for i := range count {
		made = append(made, chain.Entry{Index: s.appliedIndex + uint64(after+i) + 1, Epoch: 1})
	}
	return made
}

// runTurn plays what waits for a turn of the loop.
func (s *backlogHarness) runTurn() {
	turns := s.turns
	s.turns = nil
	for _, work := range turns {
		work()
	}
}

func (s *backlogHarness) runAllTurns() {
	for len(s.turns) > 0 {
		s.runTurn()
	}
}

// A replica that takes thousands of entries at once, as after a restart, has no time for their digests; it sums up again from there on.
func TestBacklogEntriesTakeNoDigests(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, state.AuditInterval))
	assert.Len(t, s.digests, 1)
	s.applyCommitted(s.entries(0, maxDigestBatch+1))
	s.runAllTurns()
	assert.Len(t, s.digests, 1, "the backlog's")
	s.applyCommitted(s.entries(0, 2*state.AuditInterval))
	assert.Len(t, s.digests, 2, "of the part that was seen from its start")
}

// No turn of the loop applies more of a backlog than a slice, and what comes meanwhile is applied after it, in order.
func TestBacklogIsAppliedInBatches(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 3*applyBatchSize+1))
	assert.Equal(t, uint64(applyBatchSize), s.appliedIndex)
	s.runTurn()
	assert.Equal(t, uint64(2*applyBatchSize), s.appliedIndex)
	s.applyCommitted(s.entries(applyBatchSize+1, 1))
	assert.Equal(t, uint64(2*applyBatchSize), s.appliedIndex, "what comes later waits for what came before")
	s.runTurn()
	require.True(t, s.catchingUp())
	assert.Empty(t, s.finished)
	s.runTurn()
	assert.Equal(t, uint64(3*applyBatchSize+2), s.appliedIndex)
	assert.Equal(t, []int{3*applyBatchSize + 2}, s.finished)
	assert.False(t, s.catchingUp())
	assert.Empty(t, s.turns)
}

// A read of what the backlog holds is answered in the turn that applies it.
func TestReadIsAnsweredOnceItsBacklogEntriesAreApplied(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 3*applyBatchSize))
	var answers []bool
	s.awaitIndex(applyBatchSize+1, true, func(current bool) { answers = append(answers, current) })
	assert.Empty(t, answers)
	s.runTurn()
	assert.Equal(t, []bool{true}, answers)
}

// A replica acts as the head only on a state that has all that was committed before.
func TestBecameHeadIsDeferredUntilBacklogIsApplied(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 2*applyBatchSize))
	s.forwardEvent(replica.BecameHead{Epoch: 4})
	assert.Empty(t, s.events)
	s.forwardEvent(replica.BecameHead{Epoch: 5, Continued: true})
	assert.Empty(t, s.events)
	s.runAllTurns()
	assert.Equal(t, []replica.Event{replica.BecameHead{Epoch: 5}}, s.events, "the first was never told, so nothing goes on")
	s.forwardEvent(replica.BecameHead{Epoch: 6, Continued: true})
	assert.Equal(t, replica.BecameHead{Epoch: 6, Continued: true}, s.events[1], "without a backlog it is told at once")
}

// One that has lost the lease meanwhile doesn't begin to act when its backlog is over.
func TestLostHeadCancelsDeferredBecameHead(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 2*applyBatchSize))
	s.forwardEvent(replica.BecameHead{Epoch: 4})
	s.forwardEvent(replica.LostHead{Epoch: 4})
	s.runAllTurns()
	assert.Equal(t, []replica.Event{replica.LostHead{Epoch: 4}}, s.events)
}

// A view is told at once, and reads that wait are refused with it, whatever waits to be applied.
func TestViewChangeIsNotDeferredByBacklog(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 2*applyBatchSize))
	var answers []bool
	s.awaitIndex(2*applyBatchSize, true, func(current bool) { answers = append(answers, current) })
	s.forwardEvent(replica.ViewChanged{View: view.View{Epoch: 2}})
	assert.Len(t, s.events, 1)
	assert.Equal(t, []bool{false}, answers)
}

// What waits of a dropped backlog is never applied on top of another state.
func TestADroppedBacklogIsNotContinued(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 2*applyBatchSize))
	s.backlog.drop()
	s.appliedIndex = 9 * applyBatchSize
	s.applyCommitted(s.entries(0, 2*applyBatchSize))
	require.Len(t, s.turns, 2)
	s.turns[0]()
	assert.Equal(t, uint64(10*applyBatchSize), s.appliedIndex, "the turn of the one that was dropped")
	s.turns[1]()
	assert.Equal(t, uint64(11*applyBatchSize), s.appliedIndex)
	assert.Equal(t, []int{2 * applyBatchSize}, s.finished)
}
