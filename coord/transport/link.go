package transport

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxPendingBytes = 16 << 20
	maxSpareBytes   = 256 << 10
	writeTimeout    = 5 * time.Second
	// maxPendingTime is how long bytes may be pending before they are written. It allows for one preceding write that takes its full
	// timeout. Bytes that waited longer belong to a process that was suspended, and their callers have timed out.
	maxPendingTime = writeTimeout + time.Second
)

// linkState says whether a link accepts writes, drains its pending bytes, or is closed.
type linkState uint8

const (
	linkOpen linkState = iota
	// linkFinishing means that the link writes the pending bytes and then closes.
	linkFinishing
	linkClosed
)

// link is a connection with non-blocking writes: Write appends to a buffer, and one goroutine writes the buffer to the connection.
type link struct {
	conn net.Conn
	wake chan struct{}

	mu      sync.Mutex
	state   linkState
	cause   error
	pending []byte
	// pendingSince is when the oldest of the pending bytes was added.
	pendingSince time.Time
	spare        []byte
}

// newLink returns a link. The caller starts its goroutine, run.
func newLink(conn net.Conn) *link {
	return &link{conn: conn, wake: make(chan struct{}, 1)}
}

// Read reads from the connection. It never returns io.EOF, which net/rpc would interpret as a shutdown by this end.
func (l *link) Read(buffer []byte) (int, error) {
	count, err := l.conn.Read(buffer)
	if err == nil {
		return count, nil
	}
	if cause := l.closeCause(); cause != nil {
		return count, cause
	}
	if err == io.EOF {
		return count, errPeerClosed
	}
	return count, err
}

// Write appends the data to the pending bytes, which are written after the next flush. It accepts all of the data or, with an error, none.
func (l *link) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != linkOpen {
		return 0, errLinkBroken
	}
	if len(l.pending) > maxPendingBytes {
		return 0, errBacklog
	}
	if len(l.pending) == 0 {
		l.pendingSince = time.Now()
	}
	l.pending = append(l.pending, data...)
	return len(data), nil
}

// flush wakes the goroutine that writes the pending bytes.
func (l *link) flush() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// closeCause returns why the link was closed, or nil if it is not closed.
func (l *link) closeCause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == linkClosed {
		return l.cause
	}
	return nil
}

// finish changes the state from open to finishing.
func (l *link) finish() {
	l.mu.Lock()
	if l.state == linkOpen {
		l.state = linkFinishing
	}
	l.mu.Unlock()
	l.flush()
}

// close closes the link and discards the pending bytes. Only the first call has an effect, so the first cause is kept.
func (l *link) close(cause error) {
	l.mu.Lock()
	if l.state == linkClosed {
		l.mu.Unlock()
		return
	}
	l.state = linkClosed
	l.cause = cause
	l.pending = nil
	l.mu.Unlock()
	_ = l.conn.Close()
	l.flush()
}

// run writes the pending bytes until the link is closed.
func (l *link) run() {
	for {
		data, since, state := l.takePending()
		if state == linkClosed {
			return
		}
		if len(data) > 0 {
			l.writeUnlessStale(data, since)
			continue
		}
		if state == linkFinishing {
			l.close(ErrClosed)
			return
		}
		<-l.wake
	}
}

// takePending returns the pending bytes and replaces them by the empty spare buffer.
func (l *link) takePending() (data []byte, since time.Time, state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data = l.pending
	l.pending = l.spare[:0]
	l.spare = nil
	return data, l.pendingSince, l.state
}

// writeUnlessStale writes the data unless it is older than maxPendingTime. After a suspension of the process, the peer must not execute a
// call long after its caller got ErrUnknown.
func (l *link) writeUnlessStale(data []byte, since time.Time) {
	if time.Since(since) > maxPendingTime {
		l.close(errStale)
		return
	}
	l.write(data)
}

func (l *link) write(data []byte) {
	err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = l.conn.Write(data)
	}
	if err != nil {
		l.close(err)
		return
	}
	l.recycle(data)
}

// recycle keeps a written buffer as the spare one unless it is too large.
func (l *link) recycle(buffer []byte) {
	if cap(buffer) > maxSpareBytes {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spare = buffer
}
