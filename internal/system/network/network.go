// Package network selects where a process gets its connections from: the operating system's sockets in production, a simulated network in
// tests. The rest of the process is the same for both.
package network

import (
	"context"
	"fmt"
	"net"

	"gaugeslip/coord/transport"
)

// Network connects one host to others. A nil Network selects the operating system's sockets, with the options of each use.
type Network interface {
	// Listen listens on an address, host:port.
	Listen(address string) (net.Listener, error)
	// Dial connects to an address; the network is always "tcp". It returns when the context ends at the latest.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Listen listens on the address on the network. With a nil network it calls system instead.
func Listen(network Network, address string, system func(address string) (net.Listener, error)) (net.Listener, error) {
	if network == nil {
		return system(address)
	}
	listener, err := network.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// ListenTCP listens with the default options of package net.
func ListenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// ListenForPeers returns a server that listens on the address for calls from other machines.
func ListenForPeers(network Network, address string) (*transport.Server, error) {
	if network == nil {
		return transport.Listen(address)
	}
	listener, err := Listen(network, address, nil)
	if err != nil {
		return nil, err
	}
	return transport.NewServer(listener), nil
}

// DialFunc returns the network's dial function. It returns nil for a nil network, for which clients use the operating system's sockets.
func DialFunc(network Network) func(ctx context.Context, network, address string) (net.Conn, error) {
	if network == nil {
		return nil
	}
	return network.Dial
}
