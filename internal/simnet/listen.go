package simnet

import (
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// ErrAddress is returned for an address that is not an IP address and a port.
var ErrAddress = errors.New("address is not an IP address and a port")

// Listener is a net.Listener of a simulated host.
type Listener struct {
	network  *Network
	address  *net.TCPAddr
	cond     *sync.Cond
	backlog  []*Conn
	closed   bool
	deadline deadline
}

// Listen listens at "ip:port"; port 0 selects a free port.
func (n *Network) Listen(address string) (*Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, err := parse(address)
	if err != nil {
		return nil, err
	}
	if at.Port == 0 {
		at = n.nextAddress(at.IP.String())
	}
	if _, taken := n.listeners[at.String()]; taken {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: at, Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	l := &Listener{network: n, address: at, cond: sync.NewCond(&n.mu)}
	n.listeners[at.String()] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	for {
		l.network.awaitResume(l.address.IP.String())
		switch {
		case l.closed:
			return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
		case l.deadline.passed():
			return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: os.ErrDeadlineExceeded}
		case len(l.backlog) > 0:
			first := l.backlog[0]
			l.backlog = l.backlog[1:]
			return first, nil
		}
		l.cond.Wait()
	}
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (l *Listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.closed {
		return &net.OpError{Op: "close", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	}
	l.close()
	return nil
}

func (l *Listener) close() {
	l.closed = true
	delete(l.network.listeners, l.address.String())
	for _, c := range l.backlog {
		c.abort()
	}
	l.backlog = nil
	l.cond.Broadcast()
}

// SetDeadline bounds Accept, as net.TCPListener's does; the zero time means no deadline.
func (l *Listener) SetDeadline(t time.Time) error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.deadline.set(t, l.network, l.cond)
	l.cond.Broadcast()
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// Dialer returns the host's dial function, with the signature of net.Dialer's DialContext.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, host, address) }
}

// Dial connects the host to the address. It is refused where there is no listener, and waits during cuts until the context is done.
func (n *Network) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, err := parse(address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changed.Broadcast()
	})
	defer stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	c, err := n.connect(ctx, from, to)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: to, Err: err}
	}
	return c, nil
}

func (n *Network) connect(ctx context.Context, from string, to *net.TCPAddr) (*Conn, error) {
	if err := n.awaitTransit(ctx, from, to.IP.String()); err != nil {
		return nil, err
	}
	if n.listenerFor(from, to) == nil {
		return nil, n.refuse(ctx, from, to)
	}
	if err := n.awaitTransit(ctx, to.IP.String(), from); err != nil {
		return nil, err
	}
	listener := n.listenerFor(from, to)
	if listener == nil {
		return nil, errRefused
	}
	c := n.newPair(n.nextAddress(from), to, n.fate(from, to.IP.String()))
	listener.backlog = append(listener.backlog, c.peer)
	listener.cond.Broadcast()
	n.awaitResume(from)
	return c, nil
}

// refuse waits for the latency from the listener's host back to the dialer and returns the refusal.
func (n *Network) refuse(ctx context.Context, from string, to *net.TCPAddr) error {
	if err := n.awaitTransit(ctx, to.IP.String(), from); err != nil {
		return err
	}
	return errRefused
}

func (n *Network) listenerFor(from string, to *net.TCPAddr) *Listener {
	if n.routes[route{from, to.IP.String()}] == routeRefused {
		return nil
	}
	return n.listeners[to.String()]
}

// awaitTransit waits until data sent now has arrived, or the context is done.
func (n *Network) awaitTransit(ctx context.Context, from, to string) error {
	due := time.Now().Add(n.delay(from, to))
	wake := time.AfterFunc(time.Until(due), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changed.Broadcast()
	})
	defer wake.Stop()
	for ctx.Err() == nil {
		if !time.Now().Before(due) && n.passable(from, to) {
			return nil
		}
		n.changed.Wait()
	}
	return ctx.Err()
}

func parse(address string) (*net.TCPAddr, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Join(ErrAddress, err)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		return nil, ErrAddress
	}
	return &net.TCPAddr{IP: ip, Port: int(number)}, nil
}
