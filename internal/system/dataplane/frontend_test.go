package dataplane

import (
	"bufio"
	"context"
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

	"gaugeslip/internal/system/internalapi"
)

const countRequest = "GET " + testPrefix + " HTTP/1.1\r\nHost: " + testHost + "\r\n\r\n"

// client is one kept-alive connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *pipeServer) keep() client {
	conn := s.connect()
	return client{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c client) exchange(t *testing.T, request string) string {
	go func() { _, _ = io.WriteString(c, request) }()
	return readResponse(t, c.reader)
}

// slowCore replies to each call after the delay.
func slowCore(delay time.Duration) callerFunc {
	return func(_, _ string, _, reply any, _ time.Duration) error {
		sleepFor(delay)
		*reply.(*internalapi.JobReply) = internalapi.JobReply{Verdict: internalapi.Done, Pending: 3}
		return nil
	}
}

func TestDrainLosesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(slowCore(500*time.Millisecond), testDirectory(t, "a"), noPoll, Options{})
		server := newPipeServer(t, dispatcher)
		kept, idle, busy := server.keep(), server.keep(), server.keep()
		defer kept.Close()
		defer idle.Close()
		defer busy.Close()
		assert.NotContains(t, kept.exchange(t, countRequest), "Connection: close")
		assert.NotContains(t, idle.exchange(t, countRequest), "Connection: close")

		dispatcher.Drain()
		response := kept.exchange(t, countRequest)
		assert.Contains(t, response, `{"pending":3}`)
		assert.Contains(t, response, "Connection: close")
		assertClosed(t, kept)
		assert.Contains(t, server.exchange(countRequest), "Connection: close", "new connections are still answered")

		late := make(chan string, 1)
		go func() { late <- busy.exchange(t, countRequest) }()
		synctest.Wait()
		require.NoError(t, server.frontend.Shutdown(t.Context()))
		assert.Contains(t, <-late, `{"pending":3}`, "requests in progress are answered")
		assertClosed(t, idle)
		_, accepted := server.listener.dial(time.Second)
		assert.False(t, accepted)
	})
}

func assertClosed(t *testing.T, conn client) {
	_, err := conn.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

func TestShutdownClosesConnectionsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		server := newPipeServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		conn := server.keep()
		defer conn.Close()
		go func() { _, _ = io.WriteString(conn, countRequest) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, server.frontend.Shutdown(ctx), context.DeadlineExceeded)
		assertClosed(t, conn)
		close(release)
	})
}

func TestNewLimitsApplyToNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(slowCore(time.Millisecond), testDirectory(t, "a"), noPoll, Options{})
		server := newPipeServer(t, dispatcher)
		old := server.keep()
		defer old.Close()
		assert.Contains(t, old.exchange(t, countRequest), "200 OK")

		limits := DefaultLimits()
		limits.MaxHeaderBytes = 10
		server.frontend.Serve(limits)
		server.frontend.Serve(limits)
		assert.Contains(t, old.exchange(t, countRequest), "200 OK")
		assert.Contains(t, server.exchange(countRequest), "200 OK")
		long := strings.Replace(countRequest, "\r\n\r\n", fmt.Sprintf("\r\nX: %s\r\n\r\n", strings.Repeat("x", 8<<10)), 1)
		assert.Contains(t, server.exchange(long), "431")
		assert.Contains(t, old.exchange(t, long), "200 OK")
	})
}

func TestHeadersAndIdleConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(slowCore(time.Millisecond), testDirectory(t, "a"), noPoll, Options{})
		server := newPipeServer(t, dispatcher)
		began := time.Now()
		silent := server.keep()
		defer silent.Close()
		_, err := silent.reader.ReadByte()
		assert.Error(t, err)
		assert.Equal(t, DefaultLimits().HeaderTimeout, time.Since(began))

		idle := server.keep()
		defer idle.Close()
		idle.exchange(t, countRequest)
		began = time.Now()
		assertClosed(t, idle)
		assert.Equal(t, DefaultLimits().IdleTimeout, time.Since(began))
	})
}

func TestStalledBodyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(slowCore(time.Millisecond), testDirectory(t, "a"), noPoll, Options{})
		server := newPipeServer(t, dispatcher)
		head := "POST " + testPrefix + testID + " HTTP/1.1\r\nHost: " + testHost + "\r\nContent-Length: 100\r\n\r\n{"
		began := time.Now()
		assert.Contains(t, server.exchange(head), "408")
		assert.Equal(t, bodyTimeout, time.Since(began))
	})
}

// The deadline of a body must end neither the work on the response nor the connection.
func TestBodyDeadlineIsClearedAfterBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(slowCore(2*bodyTimeout), testDirectory(t, "a"), noPoll, Options{FirstCallTimeout: time.Minute})
		server := newPipeServer(t, dispatcher)
		conn := server.keep()
		defer conn.Close()
		post := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: 60000\r\nContent-Length: %d\r\n\r\n%s",
			testPrefix+testID, testHost, deadlineHeader, len(testBody), testBody)
		assert.Contains(t, conn.exchange(t, post), "200 OK")
		assert.Contains(t, conn.exchange(t, post), "200 OK")
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(slowCore(time.Millisecond), testDirectory(t, "a"), noPoll, Options{})
		listener := newPipeListener()
		frontend := NewFrontend(listener, dispatcher, 1, nil)
		frontend.Serve(DefaultLimits())
		first, accepted := listener.dial(time.Second)
		require.True(t, accepted)
		_, accepted = listener.dial(time.Second)
		assert.False(t, accepted)
		require.NoError(t, first.Close())
		second, accepted := listener.dial(time.Second)
		assert.True(t, accepted)
		require.NoError(t, second.Close())
		require.NoError(t, frontend.Shutdown(t.Context()))
	})
}

func TestFullFrontendAcceptsNewLimitsAndShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(slowCore(time.Millisecond), testDirectory(t, "a"), noPoll, Options{})
		listener := newPipeListener()
		frontend := NewFrontend(listener, dispatcher, 1, nil)
		frontend.Serve(DefaultLimits())
		first, accepted := listener.dial(time.Second)
		require.True(t, accepted)
		limits := DefaultLimits()
		limits.IdleTimeout++
		frontend.Serve(limits)
		require.NoError(t, first.Close())
		second, accepted := listener.dial(time.Second)
		require.True(t, accepted)
		require.NoError(t, second.Close())
		require.NoError(t, frontend.Shutdown(t.Context()))
	})
}

func TestMaxConnections(t *testing.T) {
	assert.Equal(t, 1950, MaxConnections(4100))
	assert.Equal(t, minConnections, MaxConnections(100))
}
