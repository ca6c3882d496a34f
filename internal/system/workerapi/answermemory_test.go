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
	babblers = 60
	// mostAnswersHeld is what all that they have begun to say may take: a machine of the operators' has 280 MB for the whole process.
	mostAnswersHeld = 60 << 20
)

const soundAddress = "10.0.1.1:80"

// babbling gives connections to workers that answer any request with so many bytes of more than they ever say, but for a sound one.
func babbling(length int) Dial {
	return func(_ context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			if address == soundAddress {
				_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"clockMs\":7}")
				return
			}
			_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length+1)
			chunk := make([]byte, 4<<10)
			for left := length; left > 0; left -= len(chunk) {
				if _, err := far.Write(chunk); err != nil {
					return // the caller has enough
				}
			}
		}()
		return near, nil
	}
}

// Workers that answer without end take a bounded part of the memory all together, and others are still understood beside them.
func TestEndlessAnswersTakeABoundedPartOfTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(Options{Connections: 2 * babblers, AnswerTimeout: time.Second, Dial: babbling(3 << 20)})
		before := heaptest.LiveBytes()
		var calls sync.WaitGroup
		for i := range babblers {
			calls.Go(func() {
				worker := Worker{Address: fmt.Sprintf("10.0.0.%d:80", i), Instance: "i"}
				reply, err := client.Hold(t.Context(), worker, HoldOrder{FenceToken: 1})
				assert.Error(t, err)
				assert.Equal(t, Unknown, reply.Outcome)
			})
		}
		synctest.Wait() // each has said all that it says, or is hung up on
		held := heaptest.LiveBytes() - before
		reply, err := client.Hold(t.Context(), Worker{Address: soundAddress, Instance: "i"}, HoldOrder{FenceToken: 1})
		assert.NoError(t, err)
		assert.Equal(t, int64(7), reply.ClockMs)
		calls.Wait()
		client.Close()
		require.Less(t, held, int64(mostAnswersHeld))
	})
}
