package network

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
)

const (
	caller = "10.0.0.1"
	server = "10.0.0.2:80"
)

// A bounded listener accepts no more than it may, goes on once one is closed, and ends while it waits.
func TestABoundedListenerAcceptsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 3
		simulated := simnet.New(1)
		inner, err := simulated.Listen(server)
		require.NoError(t, err)
		listener := LimitListener(inner, most)
		accepted, ended := make(chan net.Conn, 2*most), make(chan error, 1)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					ended <- err
					return
				}
				accepted <- conn
			}
		}()
		for range 2 * most {
			conn, err := simulated.Dial(t.Context(), caller, server)
			require.NoError(t, err)
			defer conn.Close()
		}
		synctest.Wait()
		require.Len(t, accepted, most)
		first := <-accepted
		require.NoError(t, first.Close())
		_ = first.Close() // gives nothing back twice
		synctest.Wait()
		assert.Len(t, accepted, most)
		require.NoError(t, listener.Close())
		assert.ErrorIs(t, <-ended, net.ErrClosed)
		for range most {
			assert.NoError(t, (<-accepted).Close())
		}
	})
}
