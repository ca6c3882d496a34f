package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
)

// The relay's answer to a dial.
const (
	statusConnected byte = 1
	statusRefused   byte = 2
)

// errRefused is the error of a dial whose target accepted no connection.
var errRefused = errors.New("connection refused")

// Network connects one host to others through a relay. It implements network.Network.
type Network struct {
	Relay string // the relay's address
	Host  string // name of this host at the relay: its IP
}

// Listen opens a TCP listener of the operating system.
func (n Network) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial connects to an address through the relay. If the link is cut, Dial blocks until the context ends, like a dial to an unreachable
// host.
func (n Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, network, n.Relay)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	status, err := n.handshake(connection, address)
	if !stop() {
		_ = connection.Close()
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
	if err == nil && status != statusConnected {
		err = errRefused
	}
	if err != nil {
		_ = connection.Close()
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return connection, nil
}

func (n Network) handshake(connection net.Conn, address string) (byte, error) {
	if _, err := fmt.Fprintf(connection, "%s %s\n", n.Host, address); err != nil {
		return 0, err
	}
	var status [1]byte
	_, err := io.ReadFull(connection, status[:])
	return status[0], err
}
