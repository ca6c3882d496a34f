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
	// mostHeld is what all that they have begun to send may take: a machine of the operators' has 184 MB for the whole process.
	mostHeld = 40 << 20
)

// Clients that begin a large body and stall take a bounded part of the memory all together, whatever lengths they tell.
func TestStalledBodiesTakeABoundedPartOfTheMemory(t *testing.T) {
	for name, body := range map[string]struct {
		framing string
		sent    int
	}{
		"told and not sent": {fmt.Sprintf("Content-Length: %d\r\n\r\n", DefaultLimits().MaxBodyBytes), 0},
		"told and half sent": {fmt.Sprintf("Content-Length: %d\r\n\r\n", DefaultLimits().MaxBodyBytes),
			int(DefaultLimits().MaxBodyBytes / 2)},
		"in a chunk, half sent": {"Transfer-Encoding: chunked\r\n\r\n40000\r\n", int(DefaultLimits().MaxBodyBytes / 2)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newPipeServerOf(t, NewDispatcher(slowCore(time.Millisecond), knowingLimits(t, DefaultLimits()), noPoke, Options{}), stalledClients+1)
				before := heaptest.LiveBytes()
				head := "POST " + testPrefix + testID + " HTTP/1.1\r\nHost: " + testHost + "\r\n" + body.framing
				text := strings.Repeat("x", body.sent)
				var conns []net.Conn
				for range stalledClients {
					conn := server.connect()
					conns = append(conns, conn)
					go func() {
						_, _ = io.WriteString(conn, head) // one that is refused is closed on its way
						_, _ = io.WriteString(conn, text)
					}()
					go func() { _, _ = io.Copy(io.Discard, conn) }()
				}
				synctest.Wait()
				held := heaptest.LiveBytes() - before
				for _, conn := range conns {
					conn.Close()
				}
				pass(time.Second) // the server lingers over those that it has refused
				require.Less(t, held, int64(mostHeld))
			})
		})
	}
}

// A dispatcher whose memory for bodies was taken serves again once it is free.
func TestBodiesAreReadAgainAfterStalledOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newPipeServerOf(t, NewDispatcher(slowCore(time.Millisecond), knowingLimits(t, DefaultLimits()), noPoke, Options{}), stalledClients+2)
		head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", testPrefix, testID, testHost, DefaultLimits().MaxBodyBytes)
		for range stalledClients {
			conn := server.connect()
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, head+strings.Repeat("x", 128<<10)) }()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
		pass(bodyTime + time.Second)
		answer := server.exchange(fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", testPrefix, testID, testHost, len(testBody), testBody))
		require.Contains(t, answer, http.StatusText(http.StatusOK))
	})
}

// A job that there is no memory for is refused at once, while its client still sends, and can come again.
func TestAJobWithoutMemoryIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(slowCore(time.Millisecond), knowingLimits(t, DefaultLimits()), noPoke, Options{BodyMemory: 10 << 10})
		server := newPipeServer(t, dispatcher)
		began := time.Now()
		answer := server.exchange(fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 20000\r\n\r\nx", testPrefix, testID, testHost))
		require.Contains(t, answer, "429 Too Many Requests")
		require.Contains(t, answer, "Retry-After: 1")
		require.Contains(t, answer, "Connection: close")
		require.Zero(t, time.Since(began))
		require.Zero(t, dispatcher.bodies.Held())
		var w figures.Writer
		dispatcher.failures.write(&w)
		require.Contains(t, string(w.Bytes()), `requests_failed_total{reason="bodies-full"} 1`)
	})
}
