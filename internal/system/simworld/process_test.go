package simworld

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gaugeslip/internal/simnet"
)

var errEnded = errors.New("the process has ended")

// process is one life of a program on a host: its way to the network and its clock. Once it has ended, nothing that its goroutines
// still do is seen outside.
type process struct {
	net   *simnet.Network
	host  string
	ended atomic.Bool

	mutex    sync.Mutex
	moved    *sync.Cond
	frozen   bool
	readings int // of the clock, down to a freeze; 0: none is planned
}

func newProcess(network *simnet.Network, host string) *process {
	p := &process{net: network, host: host}
	p.moved = sync.NewCond(&p.mutex)
	return p
}

// Listen implements network.Network.
func (p *process) Listen(address string) (net.Listener, error) {
	if p.ended.Load() {
		return nil, errEnded
	}
	return p.net.Listen(address)
}

// Dial implements network.Network.
func (p *process) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	if p.ended.Load() {
		return nil, errEnded
	}
	conn, err := p.net.Dial(ctx, p.host, address)
	if err != nil {
		return nil, err
	}
	if p.ended.Load() {
		conn.(*simnet.Conn).Abort()
		return nil, errEnded
	}
	return conn, nil
}

// now is the process's clock. A frozen process's loop has its reading after the freeze, as a thread that was stopped just before it.
// Other goroutines may hold a mutex as they read, so they go on to where they read or send, and wait there.
func (p *process) now() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if (p.frozen || p.readings > 0) && calledByLoop() {
		p.countDown()
		for p.frozen {
			p.moved.Wait()
		}
	}
	return time.Now()
}

// calledByLoop tells whether the goroutine is the loop of a replica.
func calledByLoop() bool {
	var callers [64]uintptr
	frames := runtime.CallersFrames(callers[:runtime.Callers(2, callers[:])])
	for {
		frame, more := frames.Next()
		if strings.HasSuffix(frame.Function, "control.(*loop).run") {
			return true
		}
		if !more {
			return false
		}
	}
}

func (p *process) countDown() {
	if p.readings == 0 {
		return
	}
	p.readings--
	if p.readings == 0 {
		p.frozen = true
		time.AfterFunc(loopLag, p.stopIfFrozen)
	}
}

// loopLag is by how much the loop stands still before the rest of the process: what comes in that time waits in the loop's queue, and is
// the first that it works on after the freeze.
const loopLag = 5 * time.Millisecond

func (p *process) stopIfFrozen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.frozen {
		p.net.Stop(p.host)
	}
}

// freezeIn freezes the process at that reading of its clock from now on.
func (p *process) freezeIn(readings int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.readings = readings
}

// freeze stops the process: what it sends and reads from the network waits, and so does whoever reads its clock.
func (p *process) freeze() {
	p.setFrozen(true)
	p.net.Stop(p.host)
}

// thaw ends a freeze; the loop is the last to go on, so that what has come meanwhile waits for it.
func (p *process) thaw() {
	p.net.Resume(p.host)
	time.Sleep(loopLag)
	p.setFrozen(false)
}

func (p *process) setFrozen(frozen bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.frozen = frozen
	p.readings = 0
	p.moved.Broadcast()
}

// end cuts the process off from everything; its goroutines are then free to end.
func (p *process) end() {
	p.ended.Store(true)
	p.net.Kill(p.host)
	p.net.Resume(p.host)
	p.setFrozen(false)
}
