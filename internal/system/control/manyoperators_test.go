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

// Idle callers of the operators' API use a bounded number of descriptors and leave those of workers, peers and the log free.
func TestIdleOperatorsTakeFewDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers = reservedDescriptors
		settings := nodesettings.Default()
		settings.Bind.ControlPlane = operatorAddress
		host := simulatedHost{simnet.New(1)}
		node := &Node{settings: settings, network: host}
		require.NoError(t, node.listenForOperator())
		var timedOut atomic.Int64 // connections closed because no header arrived
		for range callers {
			conn, err := host.Dial(t.Context(), "tcp", operatorAddress)
			require.NoError(t, err)
			defer conn.Close()
			go func() {
				_, _ = conn.Read(make([]byte, 1))
				timedOut.Add(1)
			}()
		}
		time.Sleep(operatorHeaderTimeout + time.Second)
		first := timedOut.Load()
		assert.Positive(t, first)
		assert.Less(t, first, int64(callers/2), "too many connections were accepted at once")
		time.Sleep(callers / 100 * operatorHeaderTimeout)
		assert.EqualValues(t, callers, timedOut.Load(), "all connections are accepted eventually")
		assert.NoError(t, node.operator.Close())
	})
}
