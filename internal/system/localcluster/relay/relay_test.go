package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	timeout    = 5 * time.Second
	shortWait  = 100 * time.Millisecond
	clientHost = "10.0.0.1"
)

// startEchoServer starts a server that sends back all data, and returns its address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer accepted.Close()
				_, _ = io.Copy(accepted, accepted)
			}()
		}
	}()
	return listener.Addr().String()
}

func startRelay(t *testing.T) *Relay {
	r, err := Start(1)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay, address string) net.Conn {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	connection, err := Network{Relay: r.Address(), Host: clientHost}.Dial(ctx, "tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

func writeLine(t *testing.T, connection net.Conn, line string) {
	_, err := connection.Write([]byte(line + "\n"))
	require.NoError(t, err)
}

func requireLine(t *testing.T, connection net.Conn, line string) {
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(timeout)))
	received, err := bufio.NewReader(connection).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, line+"\n", received)
}

func requireNoData(t *testing.T, connection net.Conn) {
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(shortWait)))
	_, err := connection.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}

func allLinks(Link) bool { return true }

func TestForwardsBothDirections(t *testing.T) {
	connection := dial(t, startRelay(t), startEchoServer(t))
	writeLine(t, connection, "one")
	requireLine(t, connection, "one")
}

func TestCutDelaysBytesUntilHealed(t *testing.T) {
	r := startRelay(t)
	connection := dial(t, r, startEchoServer(t))
	heal := r.Add(Rule{Matches: func(link Link) bool { return link.From == clientHost }, Effect: Effect{Cut: true}})
	writeLine(t, connection, "one")
	requireNoData(t, connection)
	heal()
	requireLine(t, connection, "one")
}

func TestDialOverCutLinkHangs(t *testing.T) {
	r := startRelay(t)
	r.Add(Rule{Matches: allLinks, Effect: Effect{Cut: true}})
	ctx, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	_, err := Network{Relay: r.Address(), Host: clientHost}.Dial(ctx, "tcp", startEchoServer(t))
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestDialWithoutListenerIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err = Network{Relay: startRelay(t).Address(), Host: clientHost}.Dial(ctx, "tcp", listener.Addr().String())
	require.ErrorIs(t, err, errRefused)
}

func TestLostAnswerClosesConnection(t *testing.T) {
	r := startRelay(t)
	connection := dial(t, r, startEchoServer(t))
	r.Add(Rule{Matches: allLinks, Effect: Effect{LossProbability: 1}})
	writeLine(t, connection, "one")
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(timeout)))
	_, err := connection.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

func TestDelayPostponesBytes(t *testing.T) {
	r := startRelay(t)
	connection := dial(t, r, startEchoServer(t))
	r.Add(Rule{Matches: allLinks, Effect: Effect{Delay: shortWait}})
	start := time.Now()
	writeLine(t, connection, "one")
	requireLine(t, connection, "one")
	assert.GreaterOrEqual(t, time.Since(start), 2*shortWait)
}

func TestResetClosesConnections(t *testing.T) {
	r := startRelay(t)
	connection := dial(t, r, startEchoServer(t))
	writeLine(t, connection, "one")
	requireLine(t, connection, "one")
	r.Reset(func(link Link) bool { return link.To == clientHost }, 1)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(timeout)))
	_, err := connection.Read(make([]byte, 1))
	require.Error(t, err)
	var timeout net.Error
	assert.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection has to end, not time out")
}
