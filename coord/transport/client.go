package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	defaultMaxConnections = 64
	maxDialTime           = 400 * time.Millisecond
	dialBackOff           = 100 * time.Millisecond
	// peersPerConnection times MaxConnections bounds the number of addresses that a client keeps state for.
	peersPerConnection = 4
)

// Options are the settings of a Client. A zero value selects the default.
type Options struct {
	// MaxConnections bounds the kept connections, 64 by default. Over the bound, the connection that was used least recently is closed.
	// Connections in use are never closed, even over the bound.
	MaxConnections int
	// UserTimeout is the TCP_USER_TIMEOUT of connections, 2 s by default.
	UserTimeout time.Duration
	// Dial replaces the dialer of the operating system, for a simulated network. UserTimeout then has no effect.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.UserTimeout == 0 {
		o.UserTimeout = defaultUserTimeout
	}
	if o.Dial == nil {
		o.Dial = newDialer(o.UserTimeout).DialContext
	}
	return o
}

// Client calls other processes by address. It is safe for concurrent use.
type Client struct {
	options Options
	context context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu              sync.Mutex
	closed          bool
	useCounter      uint64
	connectionCount int
	peers           map[string]*peer
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	background, cancel := context.WithCancel(context.Background())
	return &Client{
		options: options.withDefaults(),
		context: background,
		cancel:  cancel,
		peers:   map[string]*peer{},
	}
}

// Call calls "Service.Method" at the address, as net/rpc does, and waits for the answer for at most the timeout. It returns ErrNotSent if
// the peer definitely did not receive the call and ErrUnknown if the peer may have executed it. It returns an rpc.ServerError if the method
// returned an error, or if the peer's net/rpc has no such method or could not decode the call. The reply must be a zero value, because gob
// omits zero fields and leaves them unchanged at the receiver. The reply is valid only if Call returns nil, and it is not modified after
// Call has returned. A call reaches the peer over at most one connection: Call retries only if the kept connection closed before it had
// accepted the whole call.
func (c *Client) Call(addr, method string, args, reply any, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	err := c.callOnce(addr, method, args, reply, timeout)
	if !closedBeforeSend(err) {
		return err
	}
	err = c.callOnce(addr, method, args, reply, time.Until(deadline))
	if !closedBeforeSend(err) {
		return err
	}
	return fmt.Errorf("%w: %s: %w", ErrNotSent, addr, err)
}

func (c *Client) callOnce(addr, method string, args, reply any, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	connection, err := c.acquire(addr, timeout)
	if err != nil {
		return err
	}
	defer c.release(connection)
	return connection.call(method, args, reply, time.Until(deadline))
}

// Close closes all connections. Calls in progress return an error.
func (c *Client) Close() error {
	c.cancel()
	for _, connection := range c.markClosed() {
		connection.codec.closeWithCause(ErrClosed)
	}
	c.group.Wait()
	return nil
}

// markClosed marks the client as closed and returns the open connections.
func (c *Client) markClosed() []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var open []*connection
	for _, peer := range c.peers {
		if peer.state == peerConnected {
			open = append(open, peer.connection)
		}
	}
	return open
}

// notSentError wraps the reason why a call was not sent in ErrNotSent.
func notSentError(addr string, cause error) error {
	return fmt.Errorf("%w: %s: %w", ErrNotSent, addr, cause)
}
