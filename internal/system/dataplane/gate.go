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
func (l *stoppableListener) Accept() (net.Conn, error) {
	select {
	case <-l.stopped:
		return nil, errListenerStopped
	case l.slots <- struct{}{}:
	}
	conn, err := l.Listener.Accept()
	if err == nil {
		return l.slots.ReleaseOnClose(conn), nil
	}
	<-l.slots
	select {
	case <-l.stopped:
		return nil, errListenerStopped
	default:
		return nil, err
	}
}

// Close doesn't close the underlying listener, which belongs to the frontend.
func (l *stoppableListener) Close() error { return nil }

// stop ends the current and all future calls of Accept.
func (l *stoppableListener) stop() {
	l.once.Do(func() {
		close(l.stopped)
		if timed, ok := l.Listener.(deadlineListener); ok {
			_ = timed.SetDeadline(time.Unix(1, 0))
		}
	})
}
