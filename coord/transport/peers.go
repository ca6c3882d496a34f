package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

// peerState is the state of the connection to an address.
type peerState uint8

const (
	// peerDisconnected means that there is no connection. A dial may start once retryAt has passed.
	peerDisconnected peerState = iota
	// peerDialing means that one dial is in progress. All calls to the address wait for it.
	peerDialing
	peerConnected
)

// peer is the state that the client keeps for an address. The lock of the client guards it.
type peer struct {
	state      peerState
	connection *connection
	dial       *pendingDial
	retryAt    time.Time
}

// pendingDial is a dial in progress. Its connection and err may be read once done is closed.
type pendingDial struct {
	done       chan struct{}
	reachable  chan struct{} // signals that the address was reported as reachable
	connection *connection
	err        error
}

// acquire returns the connection of the address, for use until release, and dials if there is none. With a timeout of zero or less it
// starts no dial: the dial could only fail, and would delay the other calls to the address.
func (c *Client) acquire(addr string, timeout time.Duration) (*connection, error) {
	if timeout <= 0 {
		return nil, notSentError(addr, errNoTime)
	}
	found, attempt, mustDial, err := c.lookup(addr)
	if err != nil {
		return nil, notSentError(addr, err)
	}
	if found != nil {
		return found, nil
	}
	if mustDial {
		c.dial(addr, attempt, timeout)
	}
	if err := attempt.wait(timeout); err != nil {
		return nil, notSentError(addr, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acquireLocked(attempt.connection)
	return attempt.connection, nil
}

// lookup returns the connection of the address, or else the dial to wait for. If mustDial is true, the caller has to carry out that dial.
func (c *Client) lookup(addr string) (found *connection, attempt *pendingDial, mustDial bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, false, ErrClosed
	}
	known := c.peerFor(addr)
	switch known.state {
	case peerConnected:
		c.acquireLocked(known.connection)
		return known.connection, nil, false, nil
	case peerDialing:
		return nil, known.dial, false, nil
	default:
		if !known.retryAt.IsZero() && time.Now().Before(known.retryAt) {
			return nil, nil, false, errBackOff
		}
		return nil, known.startDial(), true, nil
	}
}

// peerFor returns the state of an address and adds it if it is missing. The caller holds the lock.
func (c *Client) peerFor(addr string) *peer {
	if known, found := c.peers[addr]; found {
		return known
	}
	if len(c.peers) >= peersPerConnection*c.options.MaxConnections {
		c.removeDisconnected()
	}
	known := &peer{}
	c.peers[addr] = known
	return known
}

// removeDisconnected removes the addresses that have no connection and whose back-off has ended.
func (c *Client) removeDisconnected() {
	now := time.Now()
	for addr, known := range c.peers {
		if known.state == peerDisconnected && now.After(known.retryAt) {
			delete(c.peers, addr)
		}
	}
}

// acquireLocked counts one more user of the connection. The caller holds the lock.
func (c *Client) acquireLocked(used *connection) {
	c.touch(used)
	used.users++
}

// touch marks the connection as the most recently used one. The caller holds the lock.
func (c *Client) touch(used *connection) {
	c.useCounter++
	used.lastUse = c.useCounter
}

// release ends one use of a connection that acquire returned.
func (c *Client) release(used *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used.users--
}

// dial carries out the dial that lookup started and signals its result to all waiting calls.
func (c *Client) dial(addr string, attempt *pendingDial, timeout time.Duration) {
	conn, err := c.dialTCP(addr, min(timeout, maxDialTime), attempt.reachable)
	attempt.connection, attempt.err = c.finishDial(addr, conn, err)
	close(attempt.done)
	if evicted := c.evictOldest(attempt.connection); evicted != nil {
		evicted.codec.closeWithCause(errEvicted)
	}
}

func (c *Client) dialTCP(addr string, timeout time.Duration, reachable <-chan struct{}) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(c.context, timeout)
	defer cancel()
	return dialRepeatedly(bounded, c.options.Dial, addr, reachable)
}

// finishDial records the result of a dial and starts the connection.
func (c *Client) finishDial(addr string, conn net.Conn, err error) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.peers[addr]
	if err != nil {
		known.dialFailed(err)
		return nil, err
	}
	if c.closed {
		_ = conn.Close()
		known.dialFailed(ErrClosed)
		return nil, ErrClosed
	}
	fresh := newConnection(addr, conn, c.connectionClosed)
	known.dialSucceeded(fresh)
	c.connectionCount++
	c.touch(fresh)
	c.group.Go(fresh.codec.link.run)
	fresh.start()
	return fresh, nil
}

// evictOldest removes the least recently used idle connection if there are more than MaxConnections. It returns that connection, which the
// caller closes, or nil. It never removes fresh.
func (c *Client) evictOldest(fresh *connection) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connectionCount <= c.options.MaxConnections {
		return nil
	}
	var oldest *connection
	for _, known := range c.peers {
		candidate := known.connection
		if candidate == nil || candidate == fresh || candidate.users > 0 {
			continue
		}
		if oldest == nil || candidate.lastUse < oldest.lastUse {
			oldest = candidate
		}
	}
	if oldest != nil {
		c.remove(oldest)
	}
	return oldest
}

// connectionClosed removes a closed connection. Later calls for the same connection have no effect.
func (c *Client) connectionClosed(ended *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.peers[ended.addr]
	if found && known.connection == ended {
		c.remove(ended)
	}
}

// remove removes a connection and the state of its address. The caller holds the lock.
func (c *Client) remove(ended *connection) {
	delete(c.peers, ended.addr)
	c.connectionCount--
}

// startDial changes the state from disconnected to dialing.
func (p *peer) startDial() *pendingDial {
	p.state = peerDialing
	p.dial = &pendingDial{done: make(chan struct{}), reachable: make(chan struct{}, 1)}
	return p.dial
}

// dialSucceeded changes the state from dialing to connected.
func (p *peer) dialSucceeded(fresh *connection) {
	p.state = peerConnected
	p.dial = nil
	p.connection = fresh
}

// dialFailed changes the state from dialing to disconnected. A dial that timed out sets no back-off: it already lasted longer than the
// back-off, and its address may become reachable at any moment.
func (p *peer) dialFailed(err error) {
	p.state = peerDisconnected
	p.dial = nil
	p.retryAt = time.Time{}
	if !errors.Is(err, context.DeadlineExceeded) {
		p.retryAt = time.Now().Add(dialBackOff)
	}
}

// MarkReachable reports to the client that a message from the process at an address has just arrived in another way. It ends the back-off
// of the address. If a dial is in progress, it starts another attempt at once, because the SYN packets sent so far may have been lost
// before the process was up.
func (c *Client) MarkReachable(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.peers[addr]
	if !found {
		return
	}
	switch known.state {
	case peerDisconnected:
		known.retryAt = time.Time{}
	case peerDialing:
		select {
		case known.dial.reachable <- struct{}{}:
		default:
		}
	}
}

// wait waits for the end of the dial, at most for the timeout.
func (d *pendingDial) wait(timeout time.Duration) error {
	select {
	case <-d.done:
		return d.err
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-d.done:
		return d.err
	case <-timer.C:
		return errNoTime
	}
}
