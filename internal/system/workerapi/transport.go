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
	// maxIdlePerHost limits the idle connections to one host. The idle connections to all hosts are limited to the connection limit divided
	// by idleShareDivisor, so that bursts of calls always find free connections.
	maxIdlePerHost   = 4
	idleShareDivisor = 2
)

// Dial opens a connection, like net.Dialer's DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// connectionLimiter counts the open connections of one client and refuses to dial beyond its limit. At the limit it first closes the idle
// connections, so that they don't prevent a connection that a call needs.
type connectionLimiter struct {
	dial      Dial
	limit     int64
	open      atomic.Int64
	closeIdle func()
}

// newConnectionLimiter returns a limiter of connections opened by dial; nil selects the operating system's sockets.
func newConnectionLimiter(limit int, dial Dial) *connectionLimiter {
	if dial == nil {
		dial = newDialer().DialContext
	}
	return &connectionLimiter{limit: int64(limit), dial: dial}
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

// setUserTimeout limits how long sent bytes may stay unacknowledged before the kernel aborts the connection.
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

func (limiter *connectionLimiter) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if !limiter.acquire() {
		return nil, fmt.Errorf("%w: %w", errDialFailed, ErrTooManyConnections)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := limiter.dial(ctx, network, address)
	if err != nil {
		limiter.open.Add(-1)
		return nil, fmt.Errorf("%w: %w", errDialFailed, err)
	}
	return &limitedConnection{Conn: connection, limiter: limiter}, nil
}

// acquire reserves a place for one more connection, and closes the idle connections first if none is free.
func (limiter *connectionLimiter) acquire() bool {
	if limiter.tryAcquire() {
		return true
	}
	limiter.closeIdle()
	return limiter.tryAcquire()
}

func (limiter *connectionLimiter) tryAcquire() bool {
	if limiter.open.Add(1) <= limiter.limit {
		return true
	}
	limiter.open.Add(-1)
	return false
}

// limitedConnection releases its place in the limiter when it is closed. Its reads fail with errUnsolicited once bytes arrive that answer
// no request.
type limitedConnection struct {
	net.Conn
	limiter     *connectionLimiter
	closed      atomic.Bool
	framing     framing
	unsolicited bool
}

// Read implements net.Conn.
func (connection *limitedConnection) Read(buffer []byte) (int, error) {
	if connection.unsolicited {
		return 0, errUnsolicited
	}
	count, err := connection.Conn.Read(buffer)
	expected := connection.framing.countExpected(buffer[:count])
	if expected == count {
		return count, err
	}
	connection.unsolicited = true
	if expected == 0 {
		return 0, errUnsolicited
	}
	return expected, nil
}

// Write implements net.Conn.
func (connection *limitedConnection) Write(data []byte) (int, error) {
	connection.framing.noteRequest()
	return connection.Conn.Write(data)
}

// Close implements net.Conn; it may be called more than once.
func (connection *limitedConnection) Close() error {
	if connection.closed.CompareAndSwap(false, true) {
		connection.limiter.open.Add(-1)
	}
	return connection.Conn.Close()
}

// newTransport returns a transport that speaks plain HTTP/1.1 to hosts given by address, reuses its connections and never
// uses a proxy.
func newTransport(limiter *connectionLimiter, connectionsPerHost int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:            limiter.connect,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConns:           int(limiter.limit) / idleShareDivisor,
		MaxIdleConnsPerHost:    min(connectionsPerHost, maxIdlePerHost),
		MaxConnsPerHost:        connectionsPerHost,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	limiter.closeIdle = transport.CloseIdleConnections
	return transport
}
