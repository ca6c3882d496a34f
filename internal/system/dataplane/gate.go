package dataplane

import (
	"errors"
	"net"
	"sync"
	"time"

	"gaugeslip/internal/system/network"
)

var errListenerStopped = errors.New("listener stopped")

// deadlineListener is a listener whose Accept can be interrupted without closing it.
type deadlineListener interface{ SetDeadline(time.Time) error }

// stoppableListener accepts connections from an underlying listener, which it doesn't close, until it is stopped. Each connection
// holds a slot until it is closed.
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

// Accept waits for a free slot and a connection. It fails once the listener is stopped.
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

// Close doesn't close the underlying listener, which belongs to the frontend.
func (g *stoppableListener) Close() error { return nil }

// stop ends the current and all future calls of Accept.
func (g *stoppableListener) stop() {
	g.once.Do(func() {
		close(g.stopped)
		if timed, ok := g.Listener.(deadlineListener); ok {
			_ = timed.SetDeadline(time.Unix(1, 0))
		}
	})
}
