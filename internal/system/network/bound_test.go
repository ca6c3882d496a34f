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

// A limited listener accepts no more than limit connections, accepts again once one is closed, and returns from Accept when it is closed.
func TestLimitedListenerAcceptsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 3
		simulated := simnet.New(1)
		inner, err := simulated.Listen(server)
		require.NoError(t, err)
		listener := LimitListener(inner, limit)
		accepted, ended := make(chan net.Conn, 2*limit), make(chan error, 1)
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
		for range 2 * limit {
			conn, err := simulated.Dial(t.Context(), caller, server)
			require.NoError(t, err)
			defer conn.Close()
		}
		synctest.Wait()
		require.Len(t, accepted, limit)
		first := <-accepted
		require.NoError(t, first.Close())
		_ = first.Close() // a second Close must not release a slot again
		synctest.Wait()
		assert.Len(t, accepted, limit)
		require.NoError(t, listener.Close())
		assert.ErrorIs(t, <-ended, net.ErrClosed)
		for range limit {
			assert.NoError(t, (<-accepted).Close())
		}
	})
}
