package network

import (
	"net"
	"sync"
)

// Slots are the places that connections take until they are closed.
type Slots chan struct{}

// NewSlots are that many.
func NewSlots(limit int) Slots { return make(Slots, limit) }

// Hold has a connection give back, when it is closed, the slot that was taken for it.
func (s Slots) Hold(conn net.Conn) net.Conn { return &slotConn{Conn: conn, slots: s} }

// slotConn is a connection that gives its slot back when it is closed.
type slotConn struct {
	net.Conn
	slots Slots
	once  sync.Once
}

func (s *slotConn) Close() error {
	s.once.Do(func() { <-s.slots })
	return s.Conn.Close()
}

// Bound has a listener accept at limit so many connections at a time; further ones wait, as the operating system has them wait, until one is
// closed.
func Bound(listener net.Listener, limit int) net.Listener {
	return &limitListener{Listener: listener, slots: NewSlots(limit), closed: make(chan struct{})}
}

type limitListener struct {
	net.Listener
	slots  Slots
	closed chan struct{}
	once   sync.Once
}

func (b *limitListener) Accept() (net.Conn, error) {
	select {
	case b.slots <- struct{}{}:
	case <-b.closed:
		return nil, net.ErrClosed
	}
	conn, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return b.slots.Hold(conn), nil
}

func (b *limitListener) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}
