package dataplane

import (
	"errors"
	"net"
	"sync"
	"time"

	"gaugeslip/internal/system/network"
)

var errGateShut = errors.New("gate shut")

// deadlined is a listener whose Accept can be ended without closing it.
type deadlined interface{ SetDeadline(time.Time) error }

// gate accepts from a listener that outlasts it, while it is open and a slot is free. Each connection holds a slot until it is
// closed.
type gate struct {
	net.Listener
	slots  network.Slots
	closed chan struct{}
	once   sync.Once
}

func newGate(listener net.Listener, slots network.Slots) *gate {
	if timed, ok := listener.(deadlined); ok {
		_ = timed.SetDeadline(time.Time{})
	}
	return &gate{Listener: listener, slots: slots, closed: make(chan struct{})}
}

// Accept waits for a slot and a connection, until the gate is shut.
func (g *gate) Accept() (net.Conn, error) {
	select {
	case <-g.closed:
		return nil, errGateShut
	case g.slots <- struct{}{}:
	}
	conn, err := g.Listener.Accept()
	if err == nil {
		return g.slots.ReleaseOnClose(conn), nil
	}
	<-g.slots
	select {
	case <-g.closed:
		return nil, errGateShut
	default:
		return nil, err
	}
}

// Close leaves the listener open: it belongs to the frontend.
func (g *gate) Close() error { return nil }

// shut ends Accept for good.
func (g *gate) shut() {
	g.once.Do(func() {
		close(g.closed)
		if timed, ok := g.Listener.(deadlined); ok {
			_ = timed.SetDeadline(time.Unix(1, 0))
		}
	})
}
