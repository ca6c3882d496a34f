package freeport

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func reserve(t *testing.T) *Reservation {
	reservation, err := Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, reservation.Close()) })
	return reservation
}

// A reserved port can be opened by its number, repeatedly and on any loopback address. Until then connections to it are
// refused.
func TestReservedPortCanBeOpenedByNumber(t *testing.T) {
	reservation := reserve(t)
	for range 3 {
		_, err := net.Dial("tcp", reservation.Address())
		require.ErrorContains(t, err, "refused")
		listener, err := net.Listen("tcp", reservation.Address())
		require.NoError(t, err)
		_, err = net.Listen("tcp", reservation.Address())
		require.Error(t, err, "one listener at a time")
		exchange(t, listener)
		require.NoError(t, listener.Close())
	}
	other := net.TCPAddr{IP: net.IPv4(127, 0, 0, 2), Port: reservation.Port()}
	listener, err := net.Listen("tcp", other.String())
	require.NoError(t, err)
	require.NoError(t, listener.Close())
}

// exchange accepts one connection at a listener and closes it.
func exchange(t *testing.T, listener net.Listener) {
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, client.Close())
	require.NoError(t, server.Close())
}

// The operating system assigns no reserved port to an outgoing connection.
func TestNoConnectionUsesAReservedPort(t *testing.T) {
	const dialled = 2000
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	taken := map[int]bool{}
	for range 100 {
		taken[reserve(t).Port()] = true
	}
	for range dialled {
		client, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		server, err := listener.Accept()
		require.NoError(t, err)
		require.False(t, taken[client.LocalAddr().(*net.TCPAddr).Port])
		require.NoError(t, server.Close())
		require.NoError(t, client.Close())
	}
}
