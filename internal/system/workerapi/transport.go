package workerapi

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout       = 500 * time.Millisecond
	userTimeout       = 2500 * time.Millisecond
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	idleTimeout       = time.Minute
	bufferBytes       = 2 << 10
	maxHeaderBytes    = 16 << 10
	// idlePerHost connections that no call uses are kept to one host, and to all hosts one part in idlePart of the bound, so that there
	// is always room for the calls that come at once.
	idlePerHost = 4
	idlePart    = 2
)

// Dial makes a connection, as net.Dialer's DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// connectionBound counts the open connections of one client and refuses to dial beyond its limit. Connections that no call uses don't
// stand in the way of one that a call needs: at the limit they are closed first.
type connectionBound struct {
	dial      Dial
	limit     int64
	open      atomic.Int64
	closeIdle func()
}

// newConnectionBound returns a bound of connections that dial makes; nil stands for the operating system's sockets.
func newConnectionBound(limit int, dial Dial) *connectionBound {
	if dial == nil {
		dial = newDialer().DialContext
	}
	return &connectionBound{limit: int64(limit), dial: dial}
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged before the kernel gives the connection up.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var setError error
	err := connection.Control(func(descriptor uintptr) {
		milliseconds := int(userTimeout / time.Millisecond)
		setError = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if err != nil {
		return err
	}
	return setError
}

func (bound *connectionBound) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if !bound.take() {
		return nil, fmt.Errorf("%w: %w", errNotDialled, ErrTooManyConnections)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := bound.dial(ctx, network, address)
	if err != nil {
		bound.open.Add(-1)
		return nil, fmt.Errorf("%w: %w", errNotDialled, err)
	}
	return &boundConnection{Conn: connection, bound: bound}, nil
}

// take counts one more connection, if need be in the place of those that no call uses.
func (bound *connectionBound) take() bool {
	if bound.tryTake() {
		return true
	}
	bound.closeIdle()
	return bound.tryTake()
}

func (bound *connectionBound) tryTake() bool {
	if bound.open.Add(1) <= bound.limit {
		return true
	}
	bound.open.Add(-1)
	return false
}

// boundConnection gives its place back when it is closed, and ends with errUnasked once more has come than the answers that were asked
// for.
type boundConnection struct {
	net.Conn
	bound   *connectionBound
	closed  atomic.Bool
	framing framing
	unasked bool
}

// Read implements net.Conn.
func (connection *boundConnection) Read(buffer []byte) (int, error) {
	if connection.unasked {
		return 0, errUnasked
	}
	count, err := connection.Conn.Read(buffer)
	own := connection.framing.own(buffer[:count])
	if own == count {
		return count, err
	}
	connection.unasked = true
	if own == 0 {
		return 0, errUnasked
	}
	return own, nil
}

// Write implements net.Conn.
func (connection *boundConnection) Write(data []byte) (int, error) {
	connection.framing.ask()
	return connection.Conn.Write(data)
}

// Close implements net.Conn; it may be called more than once.
func (connection *boundConnection) Close() error {
	if connection.closed.CompareAndSwap(false, true) {
		connection.bound.open.Add(-1)
	}
	return connection.Conn.Close()
}

// newTransport returns a transport that speaks plain HTTP/1.1 to hosts given by address, keeps its connections and never
// asks a proxy.
func newTransport(bound *connectionBound, connectionsPerHost int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:            bound.connect,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConns:           int(bound.limit) / idlePart,
		MaxIdleConnsPerHost:    min(connectionsPerHost, idlePerHost),
		MaxConnsPerHost:        connectionsPerHost,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	bound.closeIdle = transport.CloseIdleConnections
	return transport
}
