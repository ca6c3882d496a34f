package transport

import (
	"context"
	"net"
	"time"
)

const (
	// redialInterval is after how long without an outcome an address is dialed once more. A kernel repeats the opening packet of a connection only
	// after a second, and that packet is lost whenever the other machine has no power yet or its queue of new connections is full.
	redialInterval = 80 * time.Millisecond
	// maxDialAttempts bounds the attempts of one dial that are out at once: those that fall due while it lasts, and one that news of the address
	// has asked for.
	maxDialAttempts = 6
)

// dialFunc makes a connection, as net.Dialer's DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialResult is how one attempt ended.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialAttempts are the attempts of one dial.
type dialAttempts struct {
	dial    dialFunc
	addr    string
	results chan dialResult
	pending int
}

// dialRepeatedly dials an address, and once more whenever nothing has come of it for redialInterval or its machine has shown to be there, until the
// context ends. The first outcome counts: a connection, or an error, which says that the machine is there and takes no connections.
func dialRepeatedly(ctx context.Context, dial dialFunc, addr string, reachable <-chan struct{}) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &dialAttempts{dial: dial, addr: addr, results: make(chan dialResult, maxDialAttempts)}
	a.start(ctx)
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	for {
		select {
		case first := <-a.results:
			a.pending--
			go a.closeRemaining()
			return first.conn, first.err
		case <-ticker.C:
			a.startAnother(ctx)
		case <-reachable:
			a.startAnother(ctx)
			ticker.Reset(redialInterval)
		}
	}
}

// startAnother starts one more attempt unless too many are out.
func (a *dialAttempts) startAnother(ctx context.Context) {
	if a.pending < maxDialAttempts {
		a.start(ctx)
	}
}

// start starts one more attempt; it ends with the context at the latest.
func (a *dialAttempts) start(ctx context.Context) {
	a.pending++
	go func() {
		conn, err := a.dial(ctx, "tcp", a.addr)
		a.results <- dialResult{conn: conn, err: err}
	}()
}

// closeRemaining closes the connections of attempts that come after the first outcome.
func (a *dialAttempts) closeRemaining() {
	for range a.pending {
		if other := <-a.results; other.conn != nil {
			_ = other.conn.Close()
		}
	}
}
