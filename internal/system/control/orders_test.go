package control

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/workerapi"
)

// Calls that still wait for a connection when they are cancelled are never sent. Later calls are made.
func TestCancelledCallsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials++
			<-ctx.Done()
			return nil, ctx.Err()
		}
		o := newWorkerCalls(10, silent)
		defer o.close()
		worker := workerapi.Worker{Instance: "w", Address: "10.0.0.1:1"}
		outcomes := make(chan workerapi.Outcome, 2)
		hold := func(ctx context.Context, client *workerapi.Client) {
			reply, _ := client.Hold(ctx, worker, workerapi.HoldOrder{FenceToken: 1})
			outcomes <- reply.Outcome
		}
		began := time.Now()
		assert.True(t, o.start(400*time.Millisecond, hold))
		synctest.Wait()
		o.cancelAll()
		assert.Equal(t, workerapi.NotSent, <-outcomes)
		assert.Zero(t, time.Since(began))
		assert.True(t, o.start(400*time.Millisecond, hold))
		assert.Equal(t, workerapi.NotSent, <-outcomes)
		assert.Equal(t, 400*time.Millisecond, time.Since(began))
	})
}
