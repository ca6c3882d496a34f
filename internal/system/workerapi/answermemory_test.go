package workerapi

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/heaptest"
)

const (
	floodingWorkers = 60
	// maxHeapGrowth limits the memory of all their incomplete answers. In production a machine has 280 MB for the whole process.
	maxHeapGrowth = 60 << 20
)

const regularAddress = "10.0.1.1:80"

// dialFlooding returns a Dial whose workers answer any request with a body of length bytes and never complete it. The worker at regularAddress
// sends a regular answer.
func dialFlooding(length int) Dial {
	return func(_ context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			if address == regularAddress {
				_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"clockMs\":7}")
				return
			}
			_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length+1)
			chunk := make([]byte, 4<<10)
			for left := length; left > 0; left -= len(chunk) {
				if _, err := far.Write(chunk); err != nil {
					return // the caller has closed the connection
				}
			}
		}()
		return near, nil
	}
}

// Endless answers of many workers together stay within the answer memory, and the answers of other workers are still read.
func TestEndlessAnswersStayWithinAnswerMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(Options{Connections: 2 * floodingWorkers, AnswerTimeout: time.Second, Dial: dialFlooding(3 << 20)})
		before := heaptest.LiveBytes()
		var calls sync.WaitGroup
		for i := range floodingWorkers {
			calls.Go(func() {
				worker := Worker{Address: fmt.Sprintf("10.0.0.%d:80", i), Instance: "i"}
				reply, err := client.Hold(t.Context(), worker, HoldOrder{FenceToken: 1})
				assert.Error(t, err)
				assert.Equal(t, Unknown, reply.Outcome)
			})
		}
		synctest.Wait() // each worker has sent all its bytes, or its connection is closed
		held := heaptest.LiveBytes() - before
		reply, err := client.Hold(t.Context(), Worker{Address: regularAddress, Instance: "i"}, HoldOrder{FenceToken: 1})
		assert.NoError(t, err)
		assert.Equal(t, int64(7), reply.ClockMs)
		calls.Wait()
		client.Close()
		require.Less(t, held, int64(maxHeapGrowth))
	})
}
