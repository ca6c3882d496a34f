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

var errEnded = errors.New("process has ended")

// process is one incarnation of a program on a host: its access to the network and its clock. Once it has ended, nothing that its
// goroutines still do is visible outside.
type process struct {
	net   *simnet.Network
	host  string
	ended atomic.Bool

	mutex        sync.Mutex
	thawed       *sync.Cond
	frozen       bool
	readingsLeft int // clock readings until the process freezes; 0 if no freeze is planned
}

func newProcess(network *simnet.Network, host string) *process {
	p := &process{net: network, host: host}
	p.thawed = sync.NewCond(&p.mutex)
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

// now is the process's clock. While the process is frozen, the loop of a replica gets its reading after the freeze, like a thread that
// was stopped just before reading. Other goroutines may hold a mutex while they read the clock, so they continue until they use the
// network, and wait there.
func (p *process) now() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if (p.frozen || p.readingsLeft > 0) && calledByLoop() {
		p.countReading()
		for p.frozen {
			p.thawed.Wait()
		}
	}
	return time.Now()
}

// calledByLoop reports whether the goroutine is the loop of a replica.
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

func (p *process) countReading() {
	if p.readingsLeft == 0 {
		return
	}
	p.readingsLeft--
	if p.readingsLeft == 0 {
		p.frozen = true
		time.AfterFunc(loopLag, p.stopIfFrozen)
	}
}

// loopLag is how long the loop stands still before the rest of the process. Messages that arrive in that time wait in the loop's queue
// and are processed first after the freeze.
const loopLag = 5 * time.Millisecond

func (p *process) stopIfFrozen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.frozen {
		p.net.Stop(p.host)
	}
}

// freezeAfterReadings freezes the process at the given reading of its clock, counted from now.
func (p *process) freezeAfterReadings(readings int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.readingsLeft = readings
}

// freeze stops the process: its network traffic waits, and so does its loop when it reads the clock.
func (p *process) freeze() {
	p.setFrozen(true)
	p.net.Stop(p.host)
}

// thaw ends a freeze. The loop continues last, so that messages that arrived meanwhile are in its queue.
func (p *process) thaw() {
	p.net.Resume(p.host)
	time.Sleep(loopLag)
	p.setFrozen(false)
}

func (p *process) setFrozen(frozen bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.frozen = frozen
	p.readingsLeft = 0
	p.thawed.Broadcast()
}

// end disconnects the process from the network; its goroutines can then end.
func (p *process) end() {
	p.ended.Store(true)
	p.net.Kill(p.host)
	p.net.Resume(p.host)
	p.setFrozen(false)
}
