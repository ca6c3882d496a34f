package relay

import (
	"net"
	"sync"
	"time"
)

// connection is one connection between two hosts.
type connection struct {
	relay             *Relay
	requests, answers Link
	client            net.Conn
	closeOnce         sync.Once
	closed            chan struct{}

	mutex  sync.Mutex
	server net.Conn
}

// close closes both ends.
func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if c.server != nil {
			_ = c.server.Close()
		}
	})
}

// serve connects both ends and forwards their data until both directions have ended.
func (c *connection) serve() {
	host, address, ok := readHandshake(c.client)
	if !ok {
		return
	}
	requests := Link{From: host, To: hostOf(address), Target: address}
	answers := Link{From: requests.To, To: host, Target: address, Answers: true}
	c.relay.mutex.Lock()
	c.requests, c.answers = requests, answers
	c.relay.mutex.Unlock()
	if !c.waitWhileCut(requests) || !c.waitWhileCut(answers) || !c.dial(address) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { c.forward(requests, c.client, c.server) })
	c.forward(answers, c.server, c.client)
	group.Wait()
}

func (c *connection) dial(address string) bool {
	target, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		_, _ = c.client.Write([]byte{statusRefused})
		return false
	}
	c.mutex.Lock()
	c.server = target
	c.mutex.Unlock()
	select {
	case <-c.closed:
		_ = target.Close()
		return false
	default:
	}
	_, err = c.client.Write([]byte{statusConnected})
	return err == nil
}

// waitWhileCut blocks while the link is cut. It returns false if the connection was closed meanwhile.
func (c *connection) waitWhileCut(link Link) bool {
	for {
		effect, changed := c.relay.effect(link)
		if !effect.Cut {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// chunk is a piece of data in transit.
type chunk struct {
	data      []byte
	deliverAt time.Time // earliest time of delivery
}

// forward copies data from one end to the other. At the end of the stream it closes the write side of the other end.
func (c *connection) forward(link Link, from, to net.Conn) {
	pieces := make(chan chunk, queueLength)
	var group sync.WaitGroup
	group.Go(func() { c.deliver(link, pieces, to) })
	defer group.Wait()
	defer close(pieces)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		if count > 0 && !c.enqueue(link, buffer[:count], pieces) {
			return
		}
		if err != nil {
			return
		}
	}
}

// enqueue queues a chunk for delivery. It returns false if the connection is closed.
func (c *connection) enqueue(link Link, data []byte, pieces chan<- chunk) bool {
	effect, _ := c.relay.effect(link)
	if link.Answers && c.relay.chance(effect.LossProbability) {
		c.close()
		return false
	}
	select {
	case pieces <- chunk{data: data, deliverAt: time.Now().Add(effect.Delay)}:
		return true
	case <-c.closed:
		return false
	}
}

// deliver writes chunks in order, each not before its time, and none while the link is cut.
func (c *connection) deliver(link Link, pieces <-chan chunk, to net.Conn) {
	for next := range pieces {
		if !c.sleepUntil(next.deliverAt) || !c.waitWhileCut(link) {
			continue // the connection is closed: discard the rest
		}
		if _, err := to.Write(next.data); err != nil {
			c.close()
		}
	}
	if !c.waitWhileCut(link) {
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

func (c *connection) sleepUntil(at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}
