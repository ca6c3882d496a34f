package transport

import (
	"errors"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func callTwice(t *testing.T, client *Client, addr string) {
	t.Helper()
	var reply int
	require.NoError(t, client.Call(addr, "Echo.Twice", 21, &reply, longTimeout))
	require.Equal(t, 42, reply)
}

func TestConcurrentCallsShareOneConnection(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	const callers, each = 8, 50
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for number := range each {
				var reply int
				err := client.Call(server.Addr(), "Echo.Twice", caller*each+number, &reply, longTimeout)
				if err != nil || reply != 2*(caller*each+number) {
					t.Errorf("reply %d, error %v", reply, err)
				}
			}
		})
	}
	group.Wait()
	server.mu.Lock()
	defer server.mu.Unlock()
	require.Len(t, server.links, 1)
}

func TestMethodErrorsAreReturnedAsServerErrors(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	var reply int
	err := client.Call(server.Addr(), "Echo.Fail", "not today", &reply, longTimeout)
	require.Equal(t, rpc.ServerError("not today"), err)
	err = client.Call(server.Addr(), "Echo.Missing", 1, &reply, longTimeout)
	require.IsType(t, rpc.ServerError(""), err)
	callTwice(t, client, server.Addr())
}

func TestRefusedDialReturnsErrNotSentAndBacksOff(t *testing.T) {
	client := newTestClient(t, Options{})
	addr := unusedAddr(t)
	var reply int
	err := client.Call(addr, "Echo.Twice", 1, &reply, longTimeout)
	require.ErrorIs(t, err, ErrNotSent)
	require.NotErrorIs(t, err, errBackOff)

	client.mu.Lock()
	client.peers[addr].retryAt = time.Now().Add(time.Hour)
	client.mu.Unlock()
	err = client.Call(addr, "Echo.Twice", 1, &reply, longTimeout)
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, errBackOff)

	serve(t, addr, "Echo", newEcho())
	client.skipBackOff(addr)
	callTwice(t, client, addr)
}

func TestCallWithZeroTimeoutIsNotSent(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	var reply int
	require.ErrorIs(t, client.Call(server.Addr(), "Echo.Twice", 1, &reply, 0), ErrNotSent)
}

func TestCallToSilentPeerIsUnknownAndDropsConnection(t *testing.T) {
	addr, _ := listenWithoutReading(t)
	client := newTestClient(t, Options{})
	var reply int
	err := client.Call(addr, "Echo.Twice", 1, &reply, shortTimeout)
	require.ErrorIs(t, err, ErrUnknown)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Nil(t, client.connectionTo(addr))
}

func TestPeerThatDoesNotReadDoesNotBlockCalls(t *testing.T) {
	addr, _ := listenWithoutReading(t)
	client := newTestClient(t, Options{})
	var reply int
	start := time.Now()
	err := client.Call(addr, "Echo.Length", make([]byte, 12<<20), &reply, shortTimeout)
	require.ErrorIs(t, err, ErrUnknown)
	require.Less(t, time.Since(start), writeTimeout)
}

func TestTooManyPendingBytesAreNotSent(t *testing.T) {
	addr, _ := listenWithoutReading(t)
	client := newTestClient(t, Options{})
	var group sync.WaitGroup
	errs := make([]error, 6)
	for at := range errs {
		group.Go(func() {
			var reply int
			errs[at] = client.Call(addr, "Echo.Length", make([]byte, 12<<20), &reply, 10*shortTimeout)
		})
	}
	group.Wait()
	refused := slices.ContainsFunc(errs, func(err error) bool { return errors.Is(err, ErrNotSent) })
	require.True(t, refused, "%v", errs)
}

func TestTimedOutCallKeepsConnectionForOtherCalls(t *testing.T) {
	server, echo := serveEcho(t)
	client := newTestClient(t, Options{})
	callTwice(t, client, server.Addr())
	before := client.connectionTo(server.Addr())

	result := make(chan error, 1)
	reply := -1
	go func() { result <- client.Call(server.Addr(), "Echo.Hold", 7, &reply, 10*shortTimeout) }()
	<-echo.entered
	callTwice(t, client, server.Addr())
	require.ErrorIs(t, <-result, ErrUnknown)
	require.Same(t, before, client.connectionTo(server.Addr()))

	close(echo.released)
	callTwice(t, client, server.Addr())
	require.Equal(t, -1, reply, "a late answer must not modify the reply of a call that timed out")
}

func TestCallIsRetriedOnNewConnectionAfterKeptOneClosed(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	callTwice(t, client, server.Addr())
	client.connectionTo(server.Addr()).codec.link.close(errPeerClosed)
	callTwice(t, client, server.Addr())
}

func TestRestartedServerIsReached(t *testing.T) {
	client := newTestClient(t, Options{})
	server, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	addr := server.Addr()
	require.NoError(t, server.Register("Echo", newEcho()))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve() }()
	callTwice(t, client, addr)
	require.NoError(t, server.Close())
	require.NoError(t, server.Close())
	require.NoError(t, <-ended)

	var reply int
	require.Error(t, client.Call(addr, "Echo.Twice", 1, &reply, longTimeout))
	serve(t, addr, "Echo", newEcho())
	client.skipBackOff(addr)
	callTwice(t, client, addr)
}

func TestArgumentsThatCannotBeEncodedAreNotSent(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	var reply int
	err := client.Call(server.Addr(), "Echo.Twice", make(chan int), &reply, longTimeout)
	require.ErrorIs(t, err, ErrNotSent)
	callTwice(t, client, server.Addr())
}

func TestLeastRecentlyUsedConnectionIsEvicted(t *testing.T) {
	client := newTestClient(t, Options{MaxConnections: 2})
	first, echo := serveEcho(t)
	second, _ := serveEcho(t)
	third, _ := serveEcho(t)

	result := make(chan error, 1)
	go func() {
		var reply int
		result <- client.Call(first.Addr(), "Echo.Hold", 7, &reply, longTimeout)
	}()
	<-echo.entered
	callTwice(t, client, second.Addr())
	callTwice(t, client, third.Addr())
	require.NotNil(t, client.connectionTo(first.Addr()), "a connection in use must be kept")
	require.Nil(t, client.connectionTo(second.Addr()))
	require.NotNil(t, client.connectionTo(third.Addr()))
	close(echo.released)
	require.NoError(t, <-result)

	callTwice(t, client, second.Addr())
	require.Nil(t, client.connectionTo(first.Addr()), "it is now the least recently used: its call started first")
}

func TestFailedAddressesAreBounded(t *testing.T) {
	client := newTestClient(t, Options{MaxConnections: 1})
	for range 3 * peersPerConnection {
		addr := unusedAddr(t)
		var reply int
		require.ErrorIs(t, client.Call(addr, "Echo.Twice", 1, &reply, longTimeout), ErrNotSent)
		client.skipBackOff(addr)
	}
	require.LessOrEqual(t, len(client.peers), peersPerConnection+1)
}

func TestCloseEndsCallsInProgress(t *testing.T) {
	server, echo := serveEcho(t)
	client := newTestClient(t, Options{})
	result := make(chan error, 1)
	go func() {
		var reply int
		result <- client.Call(server.Addr(), "Echo.Hold", 7, &reply, longTimeout)
	}()
	<-echo.entered
	require.NoError(t, client.Close())
	require.ErrorIs(t, <-result, ErrUnknown)
	close(echo.released)

	var reply int
	err := client.Call(server.Addr(), "Echo.Twice", 1, &reply, longTimeout)
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, ErrClosed)
}

func TestClosingServerWritesPendingReplies(t *testing.T) {
	server, echo := serveEcho(t)
	client := newTestClient(t, Options{})
	result := make(chan error, 1)
	var reply int
	go func() { result <- client.Call(server.Addr(), "Echo.Hold", 7, &reply, longTimeout) }()
	<-echo.entered
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	<-server.closing
	close(echo.released)
	require.NoError(t, <-result)
	require.Equal(t, 7, reply)
	require.NoError(t, <-closed)
}
