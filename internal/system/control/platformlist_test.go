package control

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/nodesettings"
	"gaugeslip/internal/system/workerapi"
)

// newUnresponsiveListNode returns a node whose platform does not answer until the request times out.
func newUnresponsiveListNode() *Node {
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &Node{loop: newLoop(), clock: time.Now, started: time.Now(), settings: nodesettings.Default(), logger: log.New(io.Discard),
		listClient: workerapi.NewListClient(silent)}
}

// A request in flight when its scheduler is dropped must not block the request of the next scheduler, whether it ends before or after that
// one starts.
func TestListRequestOfADroppedSchedulerBlocksNoOther(t *testing.T) {
	for _, endsFirst := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := newUnresponsiveListNode()
			n.scheduler, _ = newSchedulerWithCall(t, 1)
			n.readList()
			require.False(t, n.platform.due(n.now()))
			n.dropScheduler()
			if endsFirst {
				time.Sleep(2 * listTimeout)
				synctest.Wait()
				for _, work := range n.loop.takeQueue(nil) {
					work()
				}
			}
			n.scheduler, _ = newSchedulerWithCall(t, 2)
			n.useEarlyList()
			require.True(t, n.platform.due(n.now()), "the first request had ended before: %v", endsFirst)
			n.readList()
			time.Sleep(2 * listTimeout)
			synctest.Wait()
			for _, work := range n.loop.takeQueue(nil) {
				work()
			}
			require.True(t, n.platform.due(n.now()+listRetryMax), "the list is requested again")
			require.Equal(t, 1, n.platform.failures, "the request of the dropped scheduler does not count")
		})
	}
}

// A list requested early is delivered to the next scheduler, whether that is created before or after the answer.
func TestEarlyListIsDeliveredToTheNextScheduler(t *testing.T) {
	for _, endsFirst := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := newUnresponsiveListNode()
			n.readListEarly()
			early := n.platform.request
			require.NotNil(t, early)
			list := []workerapi.Instance{{ID: "i-9", Address: testWorkerAddress, State: workerapi.StateReady}}
			if endsFirst {
				n.listReceived(early, list, nil)
			}
			n.scheduler, _ = newSchedulerWithCall(t, 1)
			n.useEarlyList()
			require.Equal(t, endsFirst, n.platform.request == nil)
			if !endsFirst {
				n.listReceived(early, list, nil)
			}
			calls := n.scheduler.Drain().Calls
			require.NotEmpty(t, calls, "the scheduler calls the worker of the list")
			require.Equal(t, "i-9", calls[0].Worker.Instance)
			require.False(t, n.platform.due(n.now()))
			n.listReceived(early, nil, errors.New("twice"))
			require.Zero(t, n.platform.failures)
			time.Sleep(2 * listTimeout)
		})
	}
}
