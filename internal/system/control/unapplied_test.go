package control

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"gaugeslip/coord/chain"
	"gaugeslip/internal/system/state"
)

func entryOf(index uint64, command state.Command) chain.Entry {
	return chain.Entry{Index: index, Epoch: 1, Data: command.Encode()}
}

func cancelOf(id state.JobID) state.Command {
	return state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: id}}
}

func TestJobReadWaitsForEntriesThatMayChangeIt(t *testing.T) {
	var u unapplied
	u.scan([]chain.Entry{entryOf(5, cancelOf(1)), entryOf(6, cancelOf(2)), {Index: 7, Epoch: 1, Data: []byte("no command")}})
	assert.EqualValues(t, 7, u.scannedTo)
	assert.EqualValues(t, 5, u.lastChange(1))
	assert.EqualValues(t, 6, u.lastChange(2))
	assert.Zero(t, u.lastChange(3), "no entry may change job 3")
	u.scan([]chain.Entry{entryOf(8, state.Command{Kind: state.KindWorkerLost, WorkerLost: "w"}), entryOf(9, cancelOf(1))})
	assert.EqualValues(t, 9, u.lastChange(1))
	assert.EqualValues(t, 8, u.lastChange(3), "the loss of a worker may change any job")
}

func TestUnappliedJobsAreBounded(t *testing.T) {
	var u unapplied
	var entries []chain.Entry
	for i := range uint64(maxUnappliedJobs + 1) {
		entries = append(entries, entryOf(i+1, cancelOf(state.JobID(i))))
	}
	u.scan(entries)
	u.scan([]chain.Entry{entryOf(maxUnappliedJobs+2, cancelOf(1))})
	assert.Len(t, u.lastByJob, 1)
	assert.EqualValues(t, maxUnappliedJobs+2, u.lastChange(1))
	assert.EqualValues(t, maxUnappliedJobs+1, u.lastChange(2), "a dropped job waits for all scanned entries")
}

// The same indexes may hold other entries in the next view.
func TestScannedEntriesAreDroppedWithTheView(t *testing.T) {
	e := &engine{}
	e.unapplied.scan([]chain.Entry{entryOf(5, cancelOf(1))})
	e.rejectReads()
	assert.Zero(t, e.unapplied.scannedTo)
	assert.Zero(t, e.unapplied.lastChange(1))
}
