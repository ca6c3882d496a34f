package transport

import (
	"context"
	"net"
	"time"
)

const (
	// redialInterval is how long a dial waits for a result before it starts another attempt. The kernel retransmits the SYN packet of a
	// connection only after a second. The packet is lost if the other machine is not up yet or its accept queue is full.
	redialInterval = 80 * time.Millisecond
	// maxDialAttempts bounds the concurrent attempts of one dial: those started at each interval during the dial, and one started because
	// the address was reported as reachable.
	maxDialAttempts = 6
)

// dialFunc opens a connection, like DialContext of net.Dialer.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialResult is the result of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialAttempts runs the attempts of one dial. pending counts the attempts without a received result.
type dialAttempts struct {
	dial    dialFunc
	addr    string
	results chan dialResult
	pending int
}

// dialRepeatedly dials an address until the context ends. It starts another attempt whenever redialInterval passes without a result and
// whenever the address is reported as reachable. The first result counts: a connection, or an error, which means that the machine is up and
// accepts no connections.
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

// startAnother starts one more attempt unless maxDialAttempts are pending.
func (a *dialAttempts) startAnother(ctx context.Context) {
	if a.pending < maxDialAttempts {
		a.start(ctx)
	}
}

// start starts one attempt, which ends with the context at the latest.
func (a *dialAttempts) start(ctx context.Context) {
	a.pending++
	go func() {
		conn, err := a.dial(ctx, "tcp", a.addr)
		a.results <- dialResult{conn: conn, err: err}
	}()
}

// closeRemaining waits for the results after the first one and closes their connections.
func (a *dialAttempts) closeRemaining() {
	for range a.pending {
		if other := <-a.results; other.conn != nil {
			_ = other.conn.Close()
		}
	}
}
