package simworld

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/internalapi"
)

const jobBody = `{"spec":"(text)","stages":[{"count":1,"cpu":500,"memMb":64,"estimatedMs":200}]}`

// callTimeout is longer than any replica works on a call.
const callTimeout = 10 * time.Second

// submitAt submits a job at a replica, as a dispatcher does.
func (w *world) submitAt(replica int, id uint64, route string) internalapi.JobReply {
	return w.jobCall(replica, internalapi.MethodSubmit, internalapi.SubmitArgs{ID: id, Route: route, Body: []byte(jobBody)})
}

func (w *world) jobCall(replica int, method string, args any) internalapi.JobReply {
	var reply internalapi.JobReply
	err := w.console.Call(internalAddress(replica), method, args, &reply, callTimeout)
	require.NoError(w.t, err, "seed %d: %s at %d", w.seed, method, replica)
	return reply
}

// immediate is the time within which an isolated replica must refuse a call.
const immediate = 10 * time.Millisecond

// An isolated replica, whatever its role, decides no job and shows none once its lease or read permission has expired. It refuses at once.
func TestIsolatedReplicaDecidesNoJob(t *testing.T) {
	for i, affected := range []role{roleHead, roleMiddle, roleTail} {
		t.Run(string(affected), func(t *testing.T) {
			runInWorld(t, uint64(i)+1, options{replicas: 3, tolerance: 1}, func(w *world) {
				w.configure()
				require.Equal(t, internalapi.Done, w.submitAt(w.replicaWithRole(roleHead), 1, "barn").Verdict)
				isolated := w.replicaWithRole(affected)
				w.isolate(isolated, bothWays)
				time.Sleep(time.Second)
				for range 20 {
					began := time.Now()
					for _, reply := range []internalapi.JobReply{
						w.submitAt(isolated, 1, "barn"),
						w.submitAt(isolated, 2, "barn"),
						w.submitAt(isolated, 3, "new"),
						w.jobCall(isolated, internalapi.MethodCancel, internalapi.CancelArgs{ID: 1}),
						w.jobCall(isolated, internalapi.MethodCancel, internalapi.CancelArgs{ID: 9}),
						w.jobCall(isolated, internalapi.MethodStatus, internalapi.StatusArgs{ID: 1}),
						w.jobCall(isolated, internalapi.MethodStatus, internalapi.StatusArgs{ID: 9}),
						w.jobCall(isolated, internalapi.MethodCount, internalapi.CountArgs{Route: "barn"}),
					} {
						assert.Equal(t, internalapi.NotHead, reply.Verdict)
					}
					assert.Less(t, time.Since(began), 8*immediate)
					time.Sleep(300 * time.Millisecond)
				}
			})
		})
	}
}

// A job that a head has appended and cannot commit is neither accepted nor refused: its successors may still commit it.
func TestUncommittedJobIsInDoubt(t *testing.T) {
	runInWorld(t, 1, options{replicas: 3, tolerance: 1}, func(w *world) {
		w.configure()
		head := w.replicaWithRole(roleHead)
		for other := range w.replicas {
			w.net.Cut(replicaHost(other), replicaHost(head))
		}
		assert.Equal(t, internalapi.InDoubt, w.submitAt(head, 1, "barn").Verdict, "the successors have the job, the head gets no acknowledgement")
		next := w.awaitHead(2)
		require.NotEqual(t, head, next)
		status := w.jobCall(next, internalapi.MethodStatus, internalapi.StatusArgs{ID: 1})
		assert.Equal(t, internalapi.Done, status.Verdict, "the successors accepted the job")
	})
}

// A repeated submission of an accepted job is accepted again, also after its queue was removed.
func TestRepeatedSubmitIsAcceptedAgain(t *testing.T) {
	runInWorld(t, 1, options{replicas: 3, tolerance: 1}, func(w *world) {
		w.configure()
		operator := w.newOperator(0)
		head := w.replicaWithRole(roleHead)
		second := order{base: 1, version: 2, mark: 3000}.withRoute("new")
		require.Equal(t, http.StatusOK, operator.replace(head, second).status)
		require.Equal(t, internalapi.Done, w.submitAt(head, 1, "new").Verdict)
		require.Equal(t, http.StatusOK, operator.replace(head, order{base: 2, version: 3, mark: 4000}).status)
		assert.Equal(t, internalapi.Done, w.submitAt(head, 1, "new").Verdict)
		assert.Equal(t, internalapi.NoRoute, w.submitAt(head, 2, "new").Verdict)
	})
}

// An accepted job is visible in the next read, also at the tail, which is the last to learn that it is committed.
func TestAcceptedJobIsVisibleAtOnce(t *testing.T) {
	runInWorld(t, 1, options{replicas: 3, tolerance: 1}, func(w *world) {
		w.configure()
		time.Sleep(time.Second) // the tail has its permission
		head, tail := w.replicaWithRole(roleHead), w.replicaWithRole(roleTail)
		for id := range uint64(20) {
			require.Equal(t, internalapi.Done, w.submitAt(head, id+1, "barn").Verdict)
			status := w.jobCall(tail, internalapi.MethodStatus, internalapi.StatusArgs{ID: id + 1})
			assert.Equal(t, internalapi.Done, status.Verdict)
			count := w.jobCall(head, internalapi.MethodCount, internalapi.CountArgs{Route: "barn"})
			assert.EqualValues(t, id+1, count.Pending)
			assert.Equal(t, internalapi.NotHead, w.jobCall(tail, internalapi.MethodCount, internalapi.CountArgs{Route: "barn"}).Verdict)
		}
	})
}

// An acknowledged cancellation is visible in the next read.
func TestCancellationIsVisibleAtOnce(t *testing.T) {
	runInWorld(t, 2, options{replicas: 3, tolerance: 1}, func(w *world) {
		w.configure()
		time.Sleep(time.Second) // the tail has its permission
		head, tail := w.replicaWithRole(roleHead), w.replicaWithRole(roleTail)
		for id := range uint64(20) {
			require.Equal(t, internalapi.Done, w.submitAt(head, id+1, "barn").Verdict)
			require.Equal(t, internalapi.Done, w.jobCall(head, internalapi.MethodCancel, internalapi.CancelArgs{ID: id + 1}).Verdict)
			status := w.jobCall(tail, internalapi.MethodStatus, internalapi.StatusArgs{ID: id + 1})
			assert.Equal(t, "cancelled", status.State)
		}
	})
}

// The tail answers a read of a job at once, even if it holds uncommitted entries, unless one of these may change the job.
func TestReadWaitsForChangesOfItsJobOnly(t *testing.T) {
	runInWorld(t, 3, options{replicas: 3, tolerance: 1}, func(w *world) {
		w.configure()
		time.Sleep(time.Second) // the tail has its permission
		head, middle, tail := w.replicaWithRole(roleHead), w.replicaWithRole(roleMiddle), w.replicaWithRole(roleTail)
		require.Equal(t, internalapi.Done, w.submitAt(head, 1, "barn").Verdict)
		time.Sleep(100 * time.Millisecond)
		w.net.Cut(replicaHost(tail), replicaHost(middle)) // delays its acknowledgements
		submitted := make(chan internalapi.JobReply, 1)
		go func() { submitted <- w.submitAt(head, 2, "barn") }()
		time.Sleep(50 * time.Millisecond)

		began := time.Now()
		status := w.jobCall(tail, internalapi.MethodStatus, internalapi.StatusArgs{ID: 1})
		assert.Equal(t, internalapi.Done, status.Verdict)
		assert.Less(t, time.Since(began), 20*time.Millisecond)
		time.AfterFunc(80*time.Millisecond, w.net.HealAll)
		status = w.jobCall(tail, internalapi.MethodStatus, internalapi.StatusArgs{ID: 2})
		assert.Equal(t, internalapi.Done, status.Verdict)
		assert.GreaterOrEqual(t, time.Since(began), 80*time.Millisecond, "the tail could not know earlier that the job is committed")
		assert.Equal(t, internalapi.Done, (<-submitted).Verdict)
	})
}

// A client's cancellation overtakes a copy of its job that waits in a dispatcher that stands still. Once the cancellation is answered, the
// copy must not run when the dispatcher goes on, also under another head (review).
func TestJobThatComesAfterItsCancellationDoesNotRun(t *testing.T) {
	runInWorld(t, 1, options{replicas: 3, tolerance: 1, workers: 2}, func(w *world) {
		w.configure()
		cancelled := w.newClient(0).newJob(w.shortStage())
		id, err := strconv.ParseUint(cancelled.id, 16, 64)
		require.NoError(t, err)
		head := w.replicaWithRole(roleHead)
		require.Equal(t, internalapi.NotKnown, w.jobCall(head, internalapi.MethodCancel, internalapi.CancelArgs{ID: id}).Verdict)
		require.Equal(t, internalapi.NotKnown, w.jobCall(head, internalapi.MethodStatus, internalapi.StatusArgs{ID: id}).Verdict)
		w.farm.CancelJob(cancelled.id)
		w.replicas[head].kill()
		next := w.awaitHead(2)
		time.Sleep(4 * time.Second) // the workers' world allows starts for a while after a cancellation
		require.Equal(t, internalapi.Done, w.submitAt(next, id, "barn").Verdict)
		time.Sleep(4 * time.Second)
		status := w.jobCall(next, internalapi.MethodStatus, internalapi.StatusArgs{ID: id})
		assert.Equal(t, internalapi.Done, status.Verdict)
		assert.Equal(t, "cancelled", status.State)
		assert.Zero(t, w.farm.Stats().Starts)
		assert.Empty(t, w.farm.Violations())
	})
}
