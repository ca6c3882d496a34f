package dataplane

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A client that sends a request but doesn't read the response may hold its connection, and the connection's slot, only for a
// bounded time.
func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newPipeServer(t, NewDispatcher(slowCore(time.Millisecond), testDirectory(t, "a"), noPoll, Options{}))
		conn := server.connect()
		defer conn.Close()
		_, err := io.WriteString(conn, countRequest)
		require.NoError(t, err)
		sleepFor(time.Minute)
		_, err = conn.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		assert.Len(t, server.frontend.slots, 1, "only the slot of the connection to be accepted next")
	})
}

// The write deadline of a response must not outlast it. On a connection that was idle for longer, the server's own writes still
// succeed: the 100 for a client that waits for it before it sends its body, and the refusal of a malformed request.
func TestResponseDeadlineIsClearedAfterResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newPipeServer(t, NewDispatcher(slowCore(time.Millisecond), testDirectory(t, "a"), noPoll, Options{}))
		conn := server.keep()
		defer conn.Close()
		assert.Contains(t, conn.exchange(t, countRequest), "200 OK")
		sleepFor(responseTimeout + time.Second)
		head := "POST " + testPrefix + testID + " HTTP/1.1\r\nHost: " + testHost + "\r\nContent-Type: application/json\r\n" +
			"Content-Length: 48\r\nExpect: 100-continue\r\n\r\n"
		require.Len(t, testBody, 48)
		go func() { _, _ = io.WriteString(conn, head) }()
		interim, err := http.ReadResponse(conn.reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusContinue, interim.StatusCode)
		assert.Contains(t, conn.exchange(t, testBody), "200 OK")
		sleepFor(responseTimeout + time.Second)
		assert.Contains(t, conn.exchange(t, "this is no request\r\n\r\n"), "400 Bad Request")
	})
}
