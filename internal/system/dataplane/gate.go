package dataplane

import (
	"errors"
	"net"
	"sync"
	"time"

	"gaugeslip/internal/system/network"
)

var errListenerStopped = errors.New("gate shut")

// deadlineListener is a listener whose Accept can be ended without closing it.
type deadlineListener interface{ SetDeadline(time.Time) error }

// stoppableListener accepts from a listener that outlasts it, while it is open and a slot is free. Each connection holds a slot until it is
// closed.
type stoppableListener struct {
	net.Listener
	slots   network.Slots
	stopped chan struct{}
	once    sync.Once
}

func newStoppableListener(listener net.Listener, slots network.Slots) *stoppableListener {
	if timed, ok := listener.(deadlineListener); ok {
		_ = timed.SetDeadline(time.Time{})
	}
	return &stoppableListener{Listener: listener, slots: slots, stopped: make(chan struct{})}
}

// Accept waits for a slot and a connection, until the gate is shut.
func (g *stoppableListener) Accept() (net.Conn, error) {
	select {
	case <-g.stopped:
		return nil, errListenerStopped
	case g.slots <- struct{}{}:
	}
	conn, err := g.Listener.Accept()
	if err == nil {
		return g.slots.Hold(conn), nil
	}
	<-g.slots
	select {
	case <-g.stopped:
		return nil, errListenerStopped
	default:
		return nil, err
	}
}

// Close leaves the listener open: it belongs to the frontend.
func (g *stoppableListener) Close() error { return nil }

// stop ends Accept for good.
func (g *stoppableListener) stop() {
	g.once.Do(func() {
		close(g.stopped)
		if timed, ok := g.Listener.(deadlineListener); ok {
			_ = timed.SetDeadline(time.Unix(1, 0))
		}
	})
}
