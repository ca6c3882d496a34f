package transport

import (
	"context"
	"net"
	"time"
)

const (
	// dialRepeat is after how long without an outcome an address is dialed once more. A kernel repeats the opening packet of a connection only
	// after a second, and that packet is lost whenever the other machine has no power yet or its queue of new connections is full.
	dialRepeat = 80 * time.Millisecond
	// mostAttempts bounds the attempts of one dial that are out at once: those that fall due while it lasts, and one that news of the address
	// has asked for.
	mostAttempts = 6
)

// dialFunc makes a connection, as net.Dialer's DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialOutcome is how one attempt ended.
type dialOutcome struct {
	conn net.Conn
	err  error
}

// attempts are the attempts of one dial.
type attempts struct {
	dial  dialFunc
	addr  string
	ended chan dialOutcome
	out   int
}

// dialRepeatedly dials an address, and once more whenever nothing has come of it for dialRepeat or its machine has shown to be there, until the
// context ends. The first outcome counts: a connection, or an error, which says that the machine is there and takes no connections.
func dialRepeatedly(ctx context.Context, dial dialFunc, addr string, reachable <-chan struct{}) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts{dial: dial, addr: addr, ended: make(chan dialOutcome, mostAttempts)}
	a.begin(ctx)
	ticker := time.NewTicker(dialRepeat)
	defer ticker.Stop()
	for {
		select {
		case first := <-a.ended:
			a.out--
			go a.closeOthers()
			return first.conn, first.err
		case <-ticker.C:
			a.beginAnother(ctx)
		case <-reachable:
			a.beginAnother(ctx)
			ticker.Reset(dialRepeat)
		}
	}
}

// beginAnother starts one more attempt unless too many are out.
func (a *attempts) beginAnother(ctx context.Context) {
	if a.out < mostAttempts {
		a.begin(ctx)
	}
}

// begin starts one more attempt; it ends with the context at the latest.
func (a *attempts) begin(ctx context.Context) {
	a.out++
	go func() {
		conn, err := a.dial(ctx, "tcp", a.addr)
		a.ended <- dialOutcome{conn: conn, err: err}
	}()
}

// closeOthers closes the connections of attempts that come after the first outcome.
func (a *attempts) closeOthers() {
	for range a.out {
		if other := <-a.ended; other.conn != nil {
			_ = other.conn.Close()
		}
	}
}
