package simnet

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	caller = "10.0.0.1"
	server = "10.0.0.2"
	port   = server + ":80"
	seed   = 37
)

// inBubble runs a test in a synctest bubble with a new network.
func inBubble(t *testing.T, body func(t *testing.T, n *Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { body(t, New(seed)) })
}

func listen(t *testing.T, n *Network) *Listener {
	t.Helper()
	l, err := n.Listen(port)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// join dials a new connection and returns both ends.
func join(t *testing.T, n *Network, l *Listener) (near, far *Conn) {
	t.Helper()
	dialed, err := n.Dial(context.Background(), caller, l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	return dialed.(*Conn), accepted.(*Conn)
}

func pair(t *testing.T, n *Network) (near, far *Conn) {
	t.Helper()
	return join(t, n, listen(t, n))
}

func write(t *testing.T, to net.Conn, text string) {
	t.Helper()
	count, err := to.Write([]byte(text))
	require.NoError(t, err)
	require.Equal(t, len(text), count)
}

// read returns the next bytes, or the error.
func read(from net.Conn) (string, error) {
	buffer := make([]byte, 1024)
	count, err := from.Read(buffer)
	return string(buffer[:count]), err
}

func requireRead(t *testing.T, from net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	_, err := io.ReadFull(from, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
}

// quietFor requires that no bytes arrive within span.
func quietFor(t *testing.T, from net.Conn, span time.Duration) {
	t.Helper()
	require.NoError(t, from.SetReadDeadline(time.Now().Add(span)))
	text, err := read(from)
	require.ErrorContains(t, err, "timeout", "%q", text)
	require.NoError(t, from.SetReadDeadline(time.Time{}))
}
