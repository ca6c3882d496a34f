package network

import (
	"net"
	"sync"
)

// Slots limits the number of open connections. Sending to the channel takes a slot.
type Slots chan struct{}

// NewSlots returns slots for limit connections.
func NewSlots(limit int) Slots { return make(Slots, limit) }

// ReleaseOnClose returns a connection that releases one slot when it is closed. The caller has taken the slot.
func (s Slots) ReleaseOnClose(conn net.Conn) net.Conn { return &slotConn{Conn: conn, slots: s} }

// slotConn releases its slot on the first Close.
type slotConn struct {
	net.Conn
	slots Slots
	once  sync.Once
}

func (s *slotConn) Close() error {
	s.once.Do(func() { <-s.slots })
	return s.Conn.Close()
}

// LimitListener returns a listener that has at most limit accepted connections open at a time. Further connections wait in the operating system's
// backlog until one is closed.
func LimitListener(listener net.Listener, limit int) net.Listener {
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
	return b.slots.ReleaseOnClose(conn), nil
}

func (b *limitListener) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}
