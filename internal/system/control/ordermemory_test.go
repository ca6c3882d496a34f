package control

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/heaptest"
	"gaugeslip/internal/simnet"
)

const (
	stalledOrders = 40
	// mostOrdersHeld is what all that they have begun to send may take: a machine of the operators' has 280 MB for the whole process.
	mostOrdersHeld = 80 << 20
)

// Operators that begin a large configuration and stall take a bounded part of the memory all together.
func TestStalledOrdersTakeABoundedPartOfTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1)
		listener, err := network.Listen(operatorAddress)
		require.NoError(t, err)
		api := newOperatorAPI(0)
		api.figures = http.NotFound
		server := operatorServer(api.handler())
		go func() { _ = server.Serve(listener) }()
		before := heaptest.LiveBytes()
		head := fmt.Sprintf("POST /Config.Replace HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", mostConfigBytes)
		half := strings.Repeat(" ", mostConfigBytes/2)
		var conns []net.Conn
		for range stalledOrders {
			conn, err := network.Dial(t.Context(), operatorHost, operatorAddress)
			require.NoError(t, err)
			conns = append(conns, conn)
			go func() {
				_, _ = io.WriteString(conn, head) // one that is refused is closed on its way
				_, _ = io.WriteString(conn, half)
			}()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
		time.Sleep(time.Second)
		held := heaptest.LiveBytes() - before
		for _, conn := range conns {
			conn.Close()
		}
		assert.NoError(t, server.Close())
		time.Sleep(time.Second)
		assert.Less(t, held, int64(mostOrdersHeld))
	})
}
