package lab

import (
	"context"
	"encoding/binary"
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/policy"
)

// Run plays the day until its end and until all is answered, or until ctx ends.
func (l *Lab) Run(ctx context.Context) (*Report, error) {
	_, err := l.Advance(ctx, l.sc.length+24*time.Hour)
	return l.Report(), err
}

// Advance plays the day up to a time since its begin. True: all is over. When ctx ends so does it.
func (l *Lab) Advance(ctx context.Context, to time.Duration) (over bool, err error) {
	began := time.Now()
	defer func() { l.wall += time.Since(began) }()
	until := epoch + l.sc.length
	longest := time.Duration(0)
	for _, k := range l.sc.Classes {
		longest = max(longest, k.Wait)
	}
	until += 2 * longest
	if w := l.sc.Waiting; w != nil {
		until += w.delay + 2*w.lim.DefaultDue
	}
	for n := 0; len(l.cal.list) > 0 || len(l.dirty) > 0; n++ {
		if n&0xffff == 0 && ctx.Err() != nil {
			return true, ctx.Err()
		}
		if len(l.dirty) > 0 && (len(l.cal.list) == 0 || l.cal.list[0].at > l.now) {
			l.stepAll()
			continue
		}
		if l.cal.list[0].at > until {
			return true, nil
		}
		if l.cal.list[0].at > epoch+to {
			return false, nil
		}
		e := l.cal.pop()
		l.now = e.at
		l.events++
		l.note(e.kind, uint64(uint32(e.a))<<32|uint64(uint32(e.b)))
		if err := l.do(&e); err != nil {
			return true, err
		}
	}
	return true, nil
}

// note adds to the digest.
func (l *Lab) note(kind eventKind, what uint64) {
	binary.LittleEndian.PutUint64(l.record[:], uint64(l.now))
	binary.LittleEndian.PutUint64(l.record[8:], uint64(kind))
	binary.LittleEndian.PutUint64(l.record[16:], what)
	l.digest.Write(l.record[:24])
}

func (l *Lab) see(e check.Event) {
	if l.check != nil {
		e.At = l.now
		l.check.See(e)
	}
}

func (l *Lab) do(e *event) error {
	switch e.kind {
	case arrives:
		l.arrive(int(e.a))
	case tries:
		l.try(e.try)
	case reaches:
		l.reach(e.send)
	case hostActs:
		if l.wake[e.a] == e.at {
			l.wake[e.a] = 0
			l.act(int(e.a))
		}
	case toNode:
		if n := l.nodes[e.a]; n.up && n.life == int(e.b) && (e.send == nil || !l.apart(n.room, l.hosts[e.send.host].Room)) {
			l.deliver(int(e.a), e)
		}
	case comesBack:
		if s := e.send; s.gone || !l.apart(l.nodes[s.node].room, l.hosts[s.host].Room) { // else it is never heard
			l.outcome(s, policy.Result(e.a))
		}
	case givesUp:
		l.outcome(e.send, policy.TimedOut)
	case wakes:
		if n := l.nodes[e.a]; n.up && n.life == int(e.b) && n.wakeAt == e.at {
			n.wakeAt = 0
			if !n.dirty {
				n.dirty = true
				l.dirty = append(l.dirty, int(e.a))
			}
		}
	case probes:
		l.probe(int(e.a), int(e.b), e)
	case begins, ends:
		l.trouble(int(e.a), e.kind == begins)
	case lists:
		l.publish(int(e.a), policy.State(e.b))
	case stops:
		n := l.nodes[e.a]
		n.stopping = l.now
		l.cal.push(event{at: l.now + 300*time.Millisecond, kind: dies, a: e.a, b: -1})
		l.cal.push(event{at: l.now + killAfter, kind: dies, a: e.a, b: int32(n.life)})
	case dies:
		if n := l.nodes[e.a]; e.b < 0 { // clients are dealt to others
			n.dealt = n.dealt && e.b == -2 && n.up // it is back before the front has noticed
			return nil
		}
		l.die(int(e.a))
	case returns:
		l.nodes[e.a].life++
		l.cal.push(event{at: l.now + dealtAfter, kind: readies, a: e.a})
		return l.start(int(e.a))
	case readies:
		l.nodes[e.a].dealt = true
	}
	return nil
}

// stepAll lets all dispatchers that have news, or wanted to wake, decide.
func (l *Lab) stepAll() {
	list := l.dirty
	l.dirty = nil
	for _, i := range list {
		n := l.nodes[i]
		n.dirty = false
		if !n.up {
			continue
		}
		in := n.inbox
		n.inbox = nil
		n.steps++
		for _, c := range n.chain.Step(l.now, in) {
			l.carry(i, c)
		}
		if n.inbox == nil {
			n.inbox = in[:0]
		}
		if at, ok := n.chain.Wake(); ok && (n.wakeAt == 0 || at < n.wakeAt) {
			n.wakeAt = max(at, l.now+1)
			l.cal.push(event{at: n.wakeAt, kind: wakes, a: int32(i), b: int32(n.life)})
		}
	}
}
