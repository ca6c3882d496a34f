package network

import (
	"net"
	"sync"
)

// Slots are the places that connections take until they are closed.
type Slots chan struct{}

// NewSlots are that many.
func NewSlots(most int) Slots { return make(Slots, most) }

// ReleaseOnClose has a connection give back, when it is closed, the slot that was taken for it.
func (s Slots) ReleaseOnClose(conn net.Conn) net.Conn { return &slotted{Conn: conn, slots: s} }

// slotted is a connection that gives its slot back when it is closed.
type slotted struct {
	net.Conn
	slots Slots
	once  sync.Once
}

func (s *slotted) Close() error {
	s.once.Do(func() { <-s.slots })
	return s.Conn.Close()
}

// LimitListener has a listener accept at most so many connections at a time; further ones wait, as the operating system has them wait, until one is
// closed.
func LimitListener(listener net.Listener, most int) net.Listener {
	return &bounded{Listener: listener, slots: NewSlots(most), closed: make(chan struct{})}
}

type bounded struct {
	net.Listener
	slots  Slots
	closed chan struct{}
	once   sync.Once
}

func (b *bounded) Accept() (net.Conn, error) {
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

func (b *bounded) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}
