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

func twice(t *testing.T, client *Client, addr string) {
	t.Helper()
	var reply int
	require.NoError(t, client.Call(addr, "Echo.Twice", 21, &reply, generous))
	require.Equal(t, 42, reply)
}

func TestCallsAtOnceShareOneConnection(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	const callers, each = 8, 50
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for number := range each {
				var reply int
				err := client.Call(server.Addr(), "Echo.Twice", caller*each+number, &reply, generous)
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

func TestErrorsOfTheMethodComeAsServerErrors(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	var reply int
	err := client.Call(server.Addr(), "Echo.Fail", "not today", &reply, generous)
	require.Equal(t, rpc.ServerError("not today"), err)
	err = client.Call(server.Addr(), "Echo.Missing", 1, &reply, generous)
	require.IsType(t, rpc.ServerError(""), err)
	twice(t, client, server.Addr())
}

func TestARefusedDialIsNotSentAndBacksOff(t *testing.T) {
	client := newTestClient(t, Options{})
	addr := deadAddr(t)
	var reply int
	err := client.Call(addr, "Echo.Twice", 1, &reply, generous)
	require.ErrorIs(t, err, ErrNotSent)
	require.NotErrorIs(t, err, errBackOff)

	client.mu.Lock()
	client.peers[addr].retryAt = time.Now().Add(time.Hour)
	client.mu.Unlock()
	err = client.Call(addr, "Echo.Twice", 1, &reply, generous)
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, errBackOff)

	serve(t, addr, "Echo", newEcho())
	client.skipBackOff(addr)
	twice(t, client, addr)
}

func TestACallWithoutTimeIsNotSent(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	var reply int
	require.ErrorIs(t, client.Call(server.Addr(), "Echo.Twice", 1, &reply, 0), ErrNotSent)
}

func TestASilentPeerLeavesTheOutcomeUnknownAndIsForgotten(t *testing.T) {
	addr, _ := mute(t)
	client := newTestClient(t, Options{})
	var reply int
	err := client.Call(addr, "Echo.Twice", 1, &reply, brief)
	require.ErrorIs(t, err, ErrUnknown)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Nil(t, client.kept(addr))
}

func TestAPeerThatDoesNotReadHoldsNobodyUp(t *testing.T) {
	addr, _ := mute(t)
	client := newTestClient(t, Options{})
	var reply int
	start := time.Now()
	err := client.Call(addr, "Echo.Length", make([]byte, 12<<20), &reply, brief)
	require.ErrorIs(t, err, ErrUnknown)
	require.Less(t, time.Since(start), writeTimeout)
}

func TestTooManyPendingBytesAreNotSent(t *testing.T) {
	addr, _ := mute(t)
	client := newTestClient(t, Options{})
	var group sync.WaitGroup
	errs := make([]error, 6)
	for at := range errs {
		group.Go(func() {
			var reply int
			errs[at] = client.Call(addr, "Echo.Length", make([]byte, 12<<20), &reply, 10*brief)
		})
	}
	group.Wait()
	refused := slices.ContainsFunc(errs, func(err error) bool { return errors.Is(err, ErrNotSent) })
	require.True(t, refused, "%v", errs)
}

func TestATimedOutCallLeavesAConnectionThatAnswersOthers(t *testing.T) {
	server, echo := serveEcho(t)
	client := newTestClient(t, Options{})
	twice(t, client, server.Addr())
	before := client.kept(server.Addr())

	held := make(chan error, 1)
	reply := -1
	go func() { held <- client.Call(server.Addr(), "Echo.Hold", 7, &reply, 10*brief) }()
	<-echo.entered
	twice(t, client, server.Addr())
	require.ErrorIs(t, <-held, ErrUnknown)
	require.Same(t, before, client.kept(server.Addr()))

	close(echo.released)
	twice(t, client, server.Addr())
	require.Equal(t, -1, reply, "a late answer must not reach a caller that has gone on")
}

func TestACallGoesOnOverANewConnectionWhenTheKeptOneHasEnded(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	twice(t, client, server.Addr())
	client.kept(server.Addr()).codec.link.close(errPeerClosed)
	twice(t, client, server.Addr())
}

func TestARestartedServerIsReachedAgain(t *testing.T) {
	client := newTestClient(t, Options{})
	server, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	addr := server.Addr()
	require.NoError(t, server.Register("Echo", newEcho()))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve() }()
	twice(t, client, addr)
	require.NoError(t, server.Close())
	require.NoError(t, server.Close())
	require.NoError(t, <-ended)

	var reply int
	require.Error(t, client.Call(addr, "Echo.Twice", 1, &reply, generous))
	serve(t, addr, "Echo", newEcho())
	client.skipBackOff(addr)
	twice(t, client, addr)
}

func TestArgumentsThatCannotBeEncodedAreNotSent(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	var reply int
	err := client.Call(server.Addr(), "Echo.Twice", make(chan int), &reply, generous)
	require.ErrorIs(t, err, ErrNotSent)
	twice(t, client, server.Addr())
}

func TestTheConnectionIdleLongestMakesRoom(t *testing.T) {
	client := newTestClient(t, Options{MaxConnections: 2})
	first, echo := serveEcho(t)
	second, _ := serveEcho(t)
	third, _ := serveEcho(t)

	held := make(chan error, 1)
	go func() {
		var reply int
		held <- client.Call(first.Addr(), "Echo.Hold", 7, &reply, generous)
	}()
	<-echo.entered
	twice(t, client, second.Addr())
	twice(t, client, third.Addr())
	require.NotNil(t, client.kept(first.Addr()), "it is in use")
	require.Nil(t, client.kept(second.Addr()))
	require.NotNil(t, client.kept(third.Addr()))
	close(echo.released)
	require.NoError(t, <-held)

	twice(t, client, second.Addr())
	require.Nil(t, client.kept(first.Addr()), "it is idle longest now, by its start")
}

func TestAddressesThatFailedAreNotRememberedWithoutBound(t *testing.T) {
	client := newTestClient(t, Options{MaxConnections: 1})
	for range 3 * peersPerConnection {
		addr := deadAddr(t)
		var reply int
		require.ErrorIs(t, client.Call(addr, "Echo.Twice", 1, &reply, generous), ErrNotSent)
		client.skipBackOff(addr)
	}
	require.LessOrEqual(t, len(client.peers), peersPerConnection+1)
}

func TestCloseEndsCallsUnderWay(t *testing.T) {
	server, echo := serveEcho(t)
	client := newTestClient(t, Options{})
	held := make(chan error, 1)
	go func() {
		var reply int
		held <- client.Call(server.Addr(), "Echo.Hold", 7, &reply, generous)
	}()
	<-echo.entered
	require.NoError(t, client.Close())
	require.ErrorIs(t, <-held, ErrUnknown)
	close(echo.released)

	var reply int
	err := client.Call(server.Addr(), "Echo.Twice", 1, &reply, generous)
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, ErrClosed)
}

func TestAClosingServerStillWritesItsAnswers(t *testing.T) {
	server, echo := serveEcho(t)
	client := newTestClient(t, Options{})
	held := make(chan error, 1)
	var reply int
	go func() { held <- client.Call(server.Addr(), "Echo.Hold", 7, &reply, generous) }()
	<-echo.entered
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	<-server.closing
	close(echo.released)
	require.NoError(t, <-held)
	require.Equal(t, 7, reply)
	require.NoError(t, <-closed)
}
