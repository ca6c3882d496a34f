package transport

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func socketOption(t *testing.T, conn net.Conn, level, option int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var value int
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		value, err = unix.GetsockoptInt(int(descriptor), level, option)
	}))
	require.NoError(t, err)
	return value
}

func requireTimeouts(t *testing.T, conn net.Conn, userTimeout time.Duration) {
	t.Helper()
	require.Equal(t, int(userTimeout.Milliseconds()), socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
	require.Equal(t, 1, socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_NODELAY))
	require.Equal(t, 1, socketOption(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	require.Equal(t, 1, socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
	require.Equal(t, 1, socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
	require.Equal(t, keepAliveCount, socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
}

func TestBothEndsSetTimeoutsForDeadPeers(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{UserTimeout: 700 * time.Millisecond})
	callTwice(t, client, server.Addr())
	requireTimeouts(t, client.connectionTo(server.Addr()).codec.link.conn, 700*time.Millisecond)

	server.mu.Lock()
	defer server.mu.Unlock()
	for l := range server.links {
		requireTimeouts(t, l.conn, defaultUserTimeout)
	}
}
