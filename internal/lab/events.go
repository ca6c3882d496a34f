package lab

import (
	"context"
	"encoding/binary"
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/policy"
)

// Run runs the scenario to its end and until all jobs are answered, or until ctx ends.
func (l *Lab) Run(ctx context.Context) (*Report, error) {
	_, err := l.Advance(ctx, l.scenario.length+24*time.Hour)
	return l.Report(), err
}

// Advance runs the scenario up to a time since its start. It returns true if the run is over, or if ctx has ended.
func (l *Lab) Advance(ctx context.Context, to time.Duration) (over bool, err error) {
	began := time.Now()
	defer func() { l.wallTime += time.Since(began) }()
	until := epoch + l.scenario.length
	longest := time.Duration(0)
	for _, k := range l.scenario.Classes {
		longest = max(longest, k.Wait)
	}
	until += 2 * longest
	if w := l.scenario.Waiting; w != nil {
		until += w.delay + 2*w.lim.DefaultDue
	}
	for n := 0; len(l.queue.events) > 0 || len(l.pendingSteps) > 0; n++ {
		if n&0xffff == 0 && ctx.Err() != nil {
			return true, ctx.Err()
		}
		if len(l.pendingSteps) > 0 && (len(l.queue.events) == 0 || l.queue.events[0].at > l.now) {
			l.stepAll()
			continue
		}
		if l.queue.events[0].at > until {
			return true, nil
		}
		if l.queue.events[0].at > epoch+to {
			return false, nil
		}
		e := l.queue.pop()
		l.now = e.at
		l.events++
		l.addToDigest(e.kind, uint64(uint32(e.a))<<32|uint64(uint32(e.b)))
		if err := l.handle(&e); err != nil {
			return true, err
		}
	}
	return true, nil
}

// addToDigest adds an event at the present time to the digest.
func (l *Lab) addToDigest(kind eventKind, what uint64) {
	binary.LittleEndian.PutUint64(l.record[:], uint64(l.now))
	binary.LittleEndian.PutUint64(l.record[8:], uint64(kind))
	binary.LittleEndian.PutUint64(l.record[16:], what)
	l.digest.Write(l.record[:24])
}

func (l *Lab) recordEvent(e check.Event) {
	if l.checker != nil {
		e.At = l.now
		l.checker.See(e)
	}
}

func (l *Lab) handle(e *event) error {
	switch e.kind {
	case clientArrival:
		l.arrive(int(e.a))
	case tryArrival:
		l.try(e.try)
	case sendArrival:
		l.deliverSend(e.send)
	case hostEvent:
		if l.hostWake[e.a] == e.at {
			l.hostWake[e.a] = 0
			l.advanceHost(int(e.a))
		}
	case messageArrival:
		if n := l.nodes[e.a]; n.up && n.incarnation == int(e.b) && (e.send == nil || !l.disconnected(n.room, l.hosts[e.send.host].Room)) {
			l.deliver(int(e.a), e)
		}
	case sendOutcome:
		if s := e.send; s.lost || !l.disconnected(l.nodes[s.node].room, l.hosts[s.host].Room) { // otherwise the outcome is lost
			l.recordOutcome(s, policy.Result(e.a))
		}
	case sendTimeout:
		l.recordOutcome(e.send, policy.TimedOut)
	case dispatcherWake:
		if n := l.nodes[e.a]; n.up && n.incarnation == int(e.b) && n.wakeAt == e.at {
			n.wakeAt = 0
			if !n.stepPending {
				n.stepPending = true
				l.pendingSteps = append(l.pendingSteps, int(e.a))
			}
		}
	case probeArrival:
		l.probe(int(e.a), int(e.b), e)
	case troubleBegin, troubleEnd:
		l.changeTrouble(int(e.a), e.kind == troubleBegin)
	case listUpdate:
		l.publish(int(e.a), policy.State(e.b))
	case dispatcherStop:
		n := l.nodes[e.a]
		n.stoppingSince = l.now
		l.queue.push(event{at: l.now + 300*time.Millisecond, kind: dispatcherKill, a: e.a, b: -1})
		l.queue.push(event{at: l.now + killDelay, kind: dispatcherKill, a: e.a, b: int32(n.incarnation)})
	case dispatcherKill:
		if n := l.nodes[e.a]; e.b < 0 { // the front sends clients to other dispatchers
			n.receivesClients = n.receivesClients && e.b == -2 && n.up // restarted before the front noticed
			return nil
		}
		l.killAndRestart(int(e.a))
	case dispatcherStart:
		l.nodes[e.a].incarnation++
		l.queue.push(event{at: l.now + readyDelay, kind: dispatcherReady, a: e.a})
		return l.startDispatcher(int(e.a))
	case dispatcherReady:
		l.nodes[e.a].receivesClients = true
	}
	return nil
}

// stepAll runs one step of each dispatcher that has messages or has reached its wake time.
func (l *Lab) stepAll() {
	list := l.pendingSteps
	l.pendingSteps = nil
	for _, i := range list {
		n := l.nodes[i]
		n.stepPending = false
		if !n.up {
			continue
		}
		in := n.inbox
		n.inbox = nil
		n.steps++
		for _, c := range n.chain.Step(l.now, in) {
			l.execute(i, c)
		}
		if n.inbox == nil {
			n.inbox = in[:0]
		}
		if at, ok := n.chain.Wake(); ok && (n.wakeAt == 0 || at < n.wakeAt) {
			n.wakeAt = max(at, l.now+1)
			l.queue.push(event{at: n.wakeAt, kind: dispatcherWake, a: int32(i), b: int32(n.incarnation)})
		}
	}
}
