// Package network says where a process has its connections from: the operating system's sockets in service, a simulated network in
// tests. The rest of the process is the same for both.
package network

import (
	"context"
	"fmt"
	"net"

	"gaugeslip/coord/transport"
)

// Network is one host's way to others. A nil Network stands for the operating system's sockets, with the options of each use.
type Network interface {
	// Listen takes an address, host:port.
	Listen(address string) (net.Listener, error)
	// Dial connects to an address; the network is always "tcp". It ends with the context at the latest.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Listen takes the address on the network; with a nil network, system does it.
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

// ListenTCP listens with the options that package net has of itself.
func ListenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// ListenForPeers returns the server of the address for calls of other machines.
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

// DialFunc gives the network's dial, and nil for a nil network, which clients take for the operating system's sockets.
func DialFunc(network Network) func(ctx context.Context, network, address string) (net.Conn, error) {
	if network == nil {
		return nil
	}
	return network.Dial
}
