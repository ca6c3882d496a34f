package dataplane

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/heaptest"
	"gaugeslip/internal/system/figures"
)

const (
	stalledClients = 600
	// maxHeldBytes bounds the memory for everything that the stalled clients have sent. An operator's machine has 184 MB for the
	// whole process.
	maxHeldBytes = 40 << 20
)

// Clients that start a large body and stall must together use only a bounded part of the memory, whatever length they declare.
func TestStalledBodiesUseBoundedMemory(t *testing.T) {
	for name, body := range map[string]struct {
		framing string
		sent    int
	}{
		"declared, nothing sent": {fmt.Sprintf("Content-Length: %d\r\n\r\n", DefaultLimits().MaxBodyBytes), 0},
		"declared, half sent": {fmt.Sprintf("Content-Length: %d\r\n\r\n", DefaultLimits().MaxBodyBytes),
			int(DefaultLimits().MaxBodyBytes / 2)},
		"in a chunk, half sent": {"Transfer-Encoding: chunked\r\n\r\n40000\r\n", int(DefaultLimits().MaxBodyBytes / 2)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newPipeServerOf(t, NewDispatcher(slowCore(time.Millisecond), directoryWithLimits(t, DefaultLimits()), noPoll, Options{}), stalledClients+1)
				before := heaptest.LiveBytes()
				head := "POST " + testPrefix + testID + " HTTP/1.1\r\nHost: " + testHost + "\r\n" + body.framing
				text := strings.Repeat("x", body.sent)
				var conns []net.Conn
				for range stalledClients {
					conn := server.connect()
					conns = append(conns, conn)
					go func() {
						_, _ = io.WriteString(conn, head) // the server closes connections that it refuses
						_, _ = io.WriteString(conn, text)
					}()
					go func() { _, _ = io.Copy(io.Discard, conn) }()
				}
				synctest.Wait()
				held := heaptest.LiveBytes() - before
				for _, conn := range conns {
					conn.Close()
				}
				sleepFor(time.Second) // the server lingers on connections that it refused
				require.Less(t, held, int64(maxHeldBytes))
			})
		})
	}
}

// When stalled bodies have used up the memory for bodies, the dispatcher must serve again once they have timed out.
func TestBodiesAreReadAfterStalledOnesTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newPipeServerOf(t, NewDispatcher(slowCore(time.Millisecond), directoryWithLimits(t, DefaultLimits()), noPoll, Options{}), stalledClients+2)
		head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", testPrefix, testID, testHost, DefaultLimits().MaxBodyBytes)
		for range stalledClients {
			conn := server.connect()
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, head+strings.Repeat("x", 128<<10)) }()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
		sleepFor(bodyTimeout + time.Second)
		response := server.exchange(fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", testPrefix, testID, testHost, len(testBody), testBody))
		require.Contains(t, response, http.StatusText(http.StatusOK))
	})
}

// A job for which there is no body memory is refused immediately, while its client is still sending, and may be submitted again.
func TestJobIsRefusedImmediatelyWithoutBodyMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(slowCore(time.Millisecond), directoryWithLimits(t, DefaultLimits()), noPoll, Options{BodyMemory: 10 << 10})
		server := newPipeServer(t, dispatcher)
		began := time.Now()
		response := server.exchange(fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 20000\r\n\r\nx", testPrefix, testID, testHost))
		require.Contains(t, response, "429 Too Many Requests")
		require.Contains(t, response, "Retry-After: 1")
		require.Contains(t, response, "Connection: close")
		require.Zero(t, time.Since(began))
		require.Zero(t, dispatcher.bodyBudget.Held())
		var w figures.Writer
		dispatcher.failures.write(&w)
		require.Contains(t, string(w.Bytes()), `requests_failed_total{reason="bodies-full"} 1`)
	})
}
