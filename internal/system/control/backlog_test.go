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

// backlogHarness is an engine without a core. The test runs the turns of the loop one by one.
type backlogHarness struct {
	*engine
	turns    []func()
	events   []replica.Event
	finished []int // lengths of the finished backlogs
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

// entries returns count entries, of which the first follows the last applied one at a distance of after entries.
func (s *backlogHarness) entries(after, count int) (made []chain.Entry) {
	for i := range count {
		made = append(made, chain.Entry{Index: s.appliedIndex + uint64(after+i) + 1, Epoch: 1})
	}
	return made
}

// runTurn runs the work posted for the next turn of the loop.
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

// A replica that receives thousands of entries at once, as after a restart, takes no digests of them, so that it catches up sooner. It
// takes digests again from the end of the backlog on.
func TestBacklogEntriesTakeNoDigests(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, state.AuditInterval))
	assert.Len(t, s.digests, 1)
	s.applyCommitted(s.entries(0, maxDigestBatch+1))
	s.runAllTurns()
	assert.Len(t, s.digests, 1, "a backlog adds no digest")
	s.applyCommitted(s.entries(0, 2*state.AuditInterval))
	assert.Len(t, s.digests, 2, "an interval is digested only if it was audited from its start")
}

// No turn of the loop applies more than one batch of a backlog. Entries that arrive meanwhile are applied afterwards, in order.
func TestBacklogIsAppliedInBatches(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 3*applyBatchSize+1))
	assert.Equal(t, uint64(applyBatchSize), s.appliedIndex)
	s.runTurn()
	assert.Equal(t, uint64(2*applyBatchSize), s.appliedIndex)
	s.applyCommitted(s.entries(applyBatchSize+1, 1))
	assert.Equal(t, uint64(2*applyBatchSize), s.appliedIndex, "later entries wait for the backlog")
	s.runTurn()
	require.True(t, s.catchingUp())
	assert.Empty(t, s.finished)
	s.runTurn()
	assert.Equal(t, uint64(3*applyBatchSize+2), s.appliedIndex)
	assert.Equal(t, []int{3*applyBatchSize + 2}, s.finished)
	assert.False(t, s.catchingUp())
	assert.Empty(t, s.turns)
}

// A read whose index lies within the backlog is answered in the turn that applies that index.
func TestReadIsAnsweredOnceItsBacklogEntriesAreApplied(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 3*applyBatchSize))
	var answers []bool
	s.awaitIndex(applyBatchSize+1, true, func(current bool) { answers = append(answers, current) })
	assert.Empty(t, answers)
	s.runTurn()
	assert.Equal(t, []bool{true}, answers)
}

// A replica acts as the head only once its state contains everything committed before.
func TestBecameHeadIsDeferredUntilBacklogIsApplied(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 2*applyBatchSize))
	s.forwardEvent(replica.BecameHead{Epoch: 4})
	assert.Empty(t, s.events)
	s.forwardEvent(replica.BecameHead{Epoch: 5, Continued: true})
	assert.Empty(t, s.events)
	s.runAllTurns()
	assert.Equal(t, []replica.Event{replica.BecameHead{Epoch: 5}}, s.events, "the first event was never delivered, so the headship is not continued")
	s.forwardEvent(replica.BecameHead{Epoch: 6, Continued: true})
	assert.Equal(t, replica.BecameHead{Epoch: 6, Continued: true}, s.events[1], "without a backlog the event is delivered at once")
}

// A replica that has lost the lease meanwhile does not act as the head when its backlog is applied.
func TestLostHeadCancelsDeferredBecameHead(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 2*applyBatchSize))
	s.forwardEvent(replica.BecameHead{Epoch: 4})
	s.forwardEvent(replica.LostHead{Epoch: 4})
	s.runAllTurns()
	assert.Equal(t, []replica.Event{replica.LostHead{Epoch: 4}}, s.events)
}

// A view change is delivered at once and refuses the waiting reads, even during a backlog.
func TestViewChangeIsNotDeferredByBacklog(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 2*applyBatchSize))
	var answers []bool
	s.awaitIndex(2*applyBatchSize, true, func(current bool) { answers = append(answers, current) })
	s.forwardEvent(replica.ViewChanged{View: view.View{Epoch: 2}})
	assert.Len(t, s.events, 1)
	assert.Equal(t, []bool{false}, answers)
}

// Pending entries of a dropped backlog are never applied to another state.
func TestADroppedBacklogIsNotContinued(t *testing.T) {
	s := newBacklogHarness()
	s.applyCommitted(s.entries(0, 2*applyBatchSize))
	s.backlog.drop()
	s.appliedIndex = 9 * applyBatchSize
	s.applyCommitted(s.entries(0, 2*applyBatchSize))
	require.Len(t, s.turns, 2)
	s.turns[0]()
	assert.Equal(t, uint64(10*applyBatchSize), s.appliedIndex, "the turn of the dropped backlog applies nothing")
	s.turns[1]()
	assert.Equal(t, uint64(11*applyBatchSize), s.appliedIndex)
	assert.Equal(t, []int{2 * applyBatchSize}, s.finished)
}
