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
	// peersPerConnection bounds how many addresses without a connection are remembered.
	peersPerConnection = 4
)

// Options are the settings of a Client. Zero values stand for the defaults.
type Options struct {
	// MaxConnections bounds the kept connections, 64 by default. The one that has been idle longest goes first; those in use
	// stay, even over the bound.
	MaxConnections int
	// UserTimeout is the TCP_USER_TIMEOUT of connections, 2 s by default.
	UserTimeout time.Duration
	// Dial makes connections in place of the operating system's sockets, for a simulated network; UserTimeout is then without effect.
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

// Client calls other processes, by address. It is safe for concurrent use.
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

// Call calls "Service.Method" at the address, as net/rpc does, and waits for the answer for the timeout at most. Its error
// is ErrNotSent if the peer surely never got the call, ErrUnknown if it may have carried it out, or the rpc.ServerError
// that the method returned, or net/rpc for a call that it has no method for or couldn't read. The reply is to be a zero value, since
// gob leaves zero fields as they are; it counts only if there is no error, and isn't touched after Call has returned. A call is written
// to one connection at most: it is tried again only if the kept one had ended before it took any of it.
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

// Close closes all connections; calls under way end with an error.
func (c *Client) Close() error {
	c.cancel()
	for _, connection := range c.markClosed() {
		connection.codec.closeWithCause(ErrClosed)
	}
	c.group.Wait()
	return nil
}

// markClosed is the change to closed; it returns the open connections.
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

// notSentError wraps why a call was not sent.
func notSentError(addr string, cause error) error {
	return fmt.Errorf("%w: %s: %w", ErrNotSent, addr, cause)
}
