package lab

import (
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/fleet"
	"gaugeslip/policy"
)

// sendID names a send: a try has few.
func sendID(k dispatch.Key) uint64 { return k.Job<<8 | uint64(k.Attempt&255) }

func (l *Lab) send(i int, c dispatch.Send) {
	n := l.nodes[i]
	t := n.open[c.Job]
	h := l.byAdr[c.Addr]
	s := &send{id: sendID(c.Key), key: c.Key, try: t, node: i, life: n.life, host: h}
	l.sends[s.id] = s
	l.see(check.Event{Kind: check.Sent, Job: c.Job, Attempt: c.Attempt, Node: i, Host: h})
	l.rep.Sends++
	t.order.sent = l.now
	if l.hosts[h].Room != n.room {
		l.rep.Crossed++
	}
	way := l.delay(n.room, l.hosts[h].Room)
	apart := l.apart(n.room, l.hosts[h].Room)
	if n.idle[h] > 0 {
		n.idle[h]--
	} else if apart { // it never comes up
		s.gone = true
		l.back(s, l.sc.config(i).ConnectTimeout, policy.ConnectFailed)
		return
	} else {
		l.rep.Handshakes++
		way *= 3 // there and back before it can be written
		if l.hosts[h].Up() && !l.hosts[h].Connect(l.now) {
			s.gone = true
			l.back(s, way, policy.ConnectFailed)
			return
		}
	}
	if !apart {
		l.cal.push(event{at: l.now + way, kind: reaches, send: s})
	}
	l.cal.push(event{at: max(c.Deadline, l.now), kind: givesUp, send: s})
}

// back brings an outcome to the dispatcher after a while.
func (l *Lab) back(s *send, after time.Duration, r policy.Result) {
	l.cal.push(event{at: l.now + after, kind: comesBack, a: int32(r), send: s})
}

// outcome tells the one outcome of a send. A later one counts for nothing.
func (l *Lab) outcome(s *send, r policy.Result) {
	if s.over {
		return
	}
	s.over = true
	n := l.nodes[s.node]
	if n.life != s.life || !n.up {
		return
	}
	switch {
	case r.NeverRan():
		l.see(check.Event{Kind: check.NeverRan, Job: s.key.Job, Attempt: s.key.Attempt})
		fallthrough
	case r == policy.OK, r == policy.AppError:
		n.idle[s.host]++
	default:
		l.hosts[s.host].Disconnect()
	}
	if r == policy.OK {
		l.answer(s.try, check.Served)
	}
	l.tell(s.node, dispatch.AttemptEnded{Key: s.key, Result: r})
}

// reach brings a send to its host.
func (l *Lab) reach(s *send) {
	h := l.hosts[s.host]
	way := l.delay(l.nodes[s.node].room, h.Room)
	switch {
	case l.lost > 0 && l.chance.Float64() < l.lost:
		s.gone = true
		return
	case l.reset > 0 && l.chance.Float64() < l.reset:
		s.gone = true
		l.back(s, way, policy.ConnectionLost)
		return
	}
	work := s.try.order.size
	if h.Up() && h.Cold(l.now) {
		l.see(check.Event{Kind: check.Worked, Job: s.key.Job, Attempt: s.key.Attempt, Node: s.node, Host: s.host, Work: work, Capacity: h.Capacity(l.now)})
	}
	was := h.Toppled()
	v := h.Take(l.now, s.id, work, 1)
	if h.Toppled() && !was {
		l.rep.Toppled++
		l.change(s.host, policy.Gone)
	}
	switch v {
	case fleet.Full:
		l.back(s, way, policy.Full)
	case fleet.Broken:
		l.see(check.Event{Kind: check.Ran, Job: s.key.Job, Attempt: s.key.Attempt, Host: s.host})
		l.back(s, way+failFast, policy.AppError)
	case fleet.Down:
		l.back(s, way, policy.ConnectFailed)
	}
	l.act(s.host)
}

// act lets a host tell what it has to, and plans when it will have more.
func (l *Lab) act(i int) {
	h := l.hosts[i]
	for _, n := range h.Advance(l.now) {
		s := l.sends[n.Job]
		if s == nil {
			continue
		}
		l.note(hostActs, n.Job<<3|uint64(n.Kind))
		way := l.delay(l.nodes[s.node].room, h.Room)
		if n.Kind == fleet.Started {
			l.see(check.Event{Kind: check.Ran, Job: s.key.Job, Attempt: s.key.Attempt, Host: i})
		}
		switch n.Kind {
		case fleet.Started:
			l.cal.push(event{at: l.now + way, kind: toNode, a: int32(s.node), b: int32(s.life), send: s,
				msg: dispatch.JobStarted{Key: s.key}})
			continue
		case fleet.Progressed:
			l.cal.push(event{at: l.now + way, kind: toNode, a: int32(s.node), b: int32(s.life), send: s,
				msg: dispatch.JobProgress{Key: s.key, Share: n.Share}})
			continue
		case fleet.Done:
			l.did(s, way)
			l.back(s, way, policy.OK)
		case fleet.Returned:
			l.back(s, way, policy.Full)
		case fleet.Lost:
			l.back(s, way, policy.ConnectionLost)
		}
		delete(l.sends, n.Job)
	}
	l.plan(i)
}

func (l *Lab) plan(i int) {
	if at, ok := l.hosts[i].Next(); ok {
		at = max(at, l.now)
		if l.wake[i] == 0 || at < l.wake[i] {
			l.wake[i] = at
			l.cal.push(event{at: at, kind: hostActs, a: int32(i)})
		}
	}
}

func (l *Lab) probe(i, host int, e *event) {
	h := l.hosts[host]
	m := e.msg.(dispatch.ProbeEnded)
	sent := m.Took
	if l.apart(l.nodes[i].room, h.Room) {
		m.Result, m.Took = policy.TimedOut, probeTimeout
		l.later(i, max(0, sent+probeTimeout-l.now), m)
		return
	}
	load, heard := h.Probe(l.now)
	way := l.delay(l.nodes[i].room, h.Room)
	switch {
	case heard:
		m.Load = &policy.Load{FreeSlots: load.FreeSlots, Queue: load.Queue, InFlight: load.InFlight, Busy: -1}
		m.Took = l.now + way - sent
		l.later(i, way, m)
	case h.Up(): // silent
		m.Result, m.Took = policy.TimedOut, probeTimeout
		l.later(i, max(0, sent+probeTimeout-l.now), m)
	default:
		m.Result, m.Took = policy.ConnectFailed, l.now+way-sent
		l.later(i, way, m)
	}
	l.plan(host)
}
