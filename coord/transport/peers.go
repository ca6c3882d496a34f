package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

// peerState is how the client stands with an address.
type peerState uint8

const (
	// peerAbsent has no connection; dials may start once retryAt has passed.
	peerAbsent peerState = iota
	// peerDialing waits for one dial, for all calls.
	peerDialing
	peerConnected
)

// peer is what the client knows of an address. The client's lock guards it.
type peer struct {
	state      peerState
	connection *connection
	dial       *dial
	retryAt    time.Time
}

// dial is a dial under way; its outcome may be read once it is done.
type dial struct {
	done       chan struct{}
	reachable  chan struct{} // the address has shown to be there
	connection *connection
	err        error
}

// acquire returns the address's connection, for use until release, and dials it if need be. Without time nothing is begun: a dial that can
// only fail would hold the address's other calls off.
func (c *Client) acquire(addr string, timeout time.Duration) (*connection, error) {
	if timeout <= 0 {
		return nil, notSent(addr, errNoTime)
	}
	found, attempt, mine, err := c.lookUp(addr)
	if err != nil {
		return nil, notSent(addr, err)
	}
	if found != nil {
		return found, nil
	}
	if mine {
		c.dial(addr, attempt, timeout)
	}
	if err := attempt.wait(timeout); err != nil {
		return nil, notSent(addr, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use(attempt.connection)
	return attempt.connection, nil
}

// lookUp returns the address's connection, or the dial to wait for; mine says that the caller has to do it.
func (c *Client) lookUp(addr string) (found *connection, attempt *dial, mine bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, false, ErrClosed
	}
	known := c.peer(addr)
	switch known.state {
	case peerConnected:
		c.use(known.connection)
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

func (c *Client) peer(addr string) *peer {
	if known, found := c.peers[addr]; found {
		return known
	}
	if len(c.peers) >= peersPerConnection*c.options.MaxConnections {
		c.forgetAbsent()
	}
	known := &peer{}
	c.peers[addr] = known
	return known
}

// forgetAbsent drops what is known of addresses whose back-off is over.
func (c *Client) forgetAbsent() {
	now := time.Now()
	for addr, known := range c.peers {
		if known.state == peerAbsent && now.After(known.retryAt) {
			delete(c.peers, addr)
		}
	}
}

func (c *Client) use(used *connection) {
	c.touch(used)
	used.users++
}

func (c *Client) touch(used *connection) {
	c.uses++
	used.lastUse = c.uses
}

// release gives back what acquire returned.
func (c *Client) release(used *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used.users--
}

// dial does the dial that lookUp began and tells its end to all that wait.
func (c *Client) dial(addr string, attempt *dial, timeout time.Duration) {
	conn, err := c.dialTCP(addr, min(timeout, maxDialTime), attempt.reachable)
	attempt.connection, attempt.err = c.dialed(addr, conn, err)
	close(attempt.done)
	if evicted := c.evict(attempt.connection); evicted != nil {
		evicted.codec.end(errEvicted)
	}
}

func (c *Client) dialTCP(addr string, timeout time.Duration, reachable <-chan struct{}) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(c.context, timeout)
	defer cancel()
	return dialRepeatedly(bounded, c.options.Dial, addr, reachable)
}

// dialed records the end of a dial and starts the connection.
func (c *Client) dialed(addr string, conn net.Conn, err error) (*connection, error) {
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
	fresh := newConnection(addr, conn, c.disconnected)
	known.dialSucceeded(fresh)
	c.connected++
	c.touch(fresh)
	c.group.Go(fresh.codec.link.run)
	fresh.start()
	return fresh, nil
}

// evict takes the connection out that has been idle longest, if there are too many.
func (c *Client) evict(fresh *connection) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connected <= c.options.MaxConnections {
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
		c.drop(oldest)
	}
	return oldest
}

// disconnected records the end of a connection, at its first call.
func (c *Client) disconnected(ended *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.peers[ended.addr]
	if found && known.connection == ended {
		c.drop(ended)
	}
}

// drop forgets a connection and its address.
func (c *Client) drop(ended *connection) {
	delete(c.peers, ended.addr)
	c.connected--
}

// startDial is the change from absent to dialing.
func (p *peer) startDial() *dial {
	p.state = peerDialing
	p.dial = &dial{done: make(chan struct{}), reachable: make(chan struct{}, 1)}
	return p.dial
}

// dialSucceeded is the change from dialing to connected.
func (p *peer) dialSucceeded(fresh *connection) {
	p.state = peerConnected
	p.dial = nil
	p.connection = fresh
}

// dialFailed is the change from dialing to absent. A dial without an answer has lasted for longer than any back-off, and its address may be
// there at the next moment.
func (p *peer) dialFailed(err error) {
	p.state = peerAbsent
	p.dial = nil
	p.retryAt = time.Time{}
	if !errors.Is(err, context.DeadlineExceeded) {
		p.retryAt = time.Now().Add(dialBackOff)
	}
}

// MarkReachable takes note that the process at an address has just been heard of by another way: calls to it needn't wait for the end of a
// back-off, nor for the repetition of an opening packet that was sent before it was there.
func (c *Client) MarkReachable(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.peers[addr]
	if !found {
		return
	}
	switch known.state {
	case peerAbsent:
		known.retryAt = time.Time{}
	case peerDialing:
		select {
		case known.dial.reachable <- struct{}{}:
		default:
		}
	}
}

// wait waits for the end of the dial.
func (d *dial) wait(timeout time.Duration) error {
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
