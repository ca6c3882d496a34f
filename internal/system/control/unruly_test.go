package control

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
	"gaugeslip/internal/system/internalapi"
)

// An operator who stalls in the middle of a request holds the connection and the memory of the received part for a bounded time.
func TestStalledOrderTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1)
		listener, err := network.Listen(operatorAddress)
		require.NoError(t, err)
		api := newOperatorAPI(0)
		api.metrics = func(http.ResponseWriter, *http.Request) {}
		api.read = func(time.Duration) internalapi.ReadReply { return internalapi.ReadReply{} }
		server := operatorServer(api.handler())
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		conn, err := network.Dial(t.Context(), operatorHost, operatorAddress)
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, strings.TrimSuffix(completeRequest, orderBody[10:]))
		require.NoError(t, err)
		began := time.Now()
		require.NoError(t, conn.SetReadDeadline(began.Add(time.Minute)))
		_, err = io.Copy(io.Discard, conn)
		assert.NoError(t, err, "with or without an answer, the connection is closed")
	})
}
