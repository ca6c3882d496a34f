package hollow

import (
	"net"
	"runtime"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// A worker that is closed before its server has begun to accept must not leave behind a listener that accepts connections and resets them.
func TestWorkerClosedAtOnceAcceptsNoConnection(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the server's goroutine does not run before the test blocks
	for range 50 {
		world := NewWorld(DefaultSettings(), NewManualClock(0))
		worker := world.NewWorker(WorkerSettings{})
		require.NoError(t, worker.Listen())
		worker.Close()
		_, err := net.Dial("tcp", worker.Address())
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		world.Close()
	}
}
