// Package freeport reserves ports of this machine for future listeners. A port that was found by opening and closing a listener may be
// assigned to another process before it is used. A reserved port is never assigned to sockets that ask for any free port, but can be opened
// by its number.
package freeport

import (
	"fmt"
	"net"
	"strconv"
	"syscall"
)

// Reservation holds one TCP port on all IPv4 addresses. It binds a socket to the port that never listens. The operating system then assigns
// the port to no other socket by itself, neither to a listener nor to a connection, while a listener that names the port and sets
// SO_REUSEADDR, as those of package net do, can still open it.
type Reservation struct {
	socket int
	port   int
}

// Reserve reserves a port until Close.
func Reserve() (*Reservation, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	port, err := bindAny(socket)
	if err != nil {
		_ = syscall.Close(socket)
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	return &Reservation{socket: socket, port: port}, nil
}

// bindAny binds a socket to a port that is free on all addresses.
func bindAny(socket int) (port int, err error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{}); err != nil {
		return 0, err
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return 0, err
	}
	address, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return 0, fmt.Errorf("bound to %T", bound)
	}
	return address.Port, nil
}

// Port returns the reserved port.
func (r *Reservation) Port() int { return r.port }

// Address returns the address of the port on 127.0.0.1.
func (r *Reservation) Address() string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(r.port)) }

// Close ends the reservation. Listeners on the port stay open.
func (r *Reservation) Close() error { return syscall.Close(r.socket) }
