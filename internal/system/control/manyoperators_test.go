package control

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
	"gaugeslip/internal/system/nodesettings"
)

// simulatedHost is a host of a simulated network.
type simulatedHost struct{ net *simnet.Network }

func (h simulatedHost) Listen(address string) (net.Listener, error) { return h.net.Listen(address) }

func (h simulatedHost) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return h.net.Dial(ctx, operatorHost, address)
}

// Callers that connect and say nothing take some of the descriptors, and not those of workers, peers and the log.
func TestIdleOperatorsTakeFewDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers = reservedDescriptors
		settings := nodesettings.Default()
		settings.Bind.ControlPlane = operatorAddress
		host := simulatedHost{simnet.New(1)}
		node := &Node{settings: settings, network: host}
		require.NoError(t, node.listenForOperator())
		var given atomic.Int64 // up, as their header didn't come
		for range callers {
			conn, err := host.Dial(t.Context(), "tcp", operatorAddress)
			require.NoError(t, err)
			defer conn.Close()
			go func() {
				_, _ = conn.Read(make([]byte, 1))
				given.Add(1)
			}()
		}
		time.Sleep(operatorHeaderTimeout + time.Second)
		first := given.Load()
		assert.Positive(t, first)
		assert.Less(t, first, int64(callers/2), "so many were accepted at once")
		time.Sleep(callers / 100 * operatorHeaderTimeout)
		assert.EqualValues(t, callers, given.Load(), "all have their turn")
		assert.NoError(t, node.operator.Close())
	})
}
