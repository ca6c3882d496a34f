package lab

import (
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/fleet"
	"gaugeslip/policy"
)

// sendID returns the identifier of a send. It is unique while a try has at most 256 attempts.
func sendID(k dispatch.Key) uint64 { return k.Job<<8 | uint64(k.Attempt&255) }

func (l *Lab) send(i int, c dispatch.Send) {
	n := l.nodes[i]
	t := n.openTries[c.Job]
	h := l.hostByAddr[c.Addr]
	s := &send{id: sendID(c.Key), key: c.Key, try: t, node: i, incarnation: n.incarnation, host: h}
	l.sends[s.id] = s
	l.recordEvent(check.Event{Kind: check.Sent, Job: c.Job, Attempt: c.Attempt, Node: i, Host: h})
	l.report.Sends++
	t.job.lastSentAt = l.now
	if l.hosts[h].Room != n.room {
		l.report.Crossed++
	}
	way := l.delay(n.room, l.hosts[h].Room)
	apart := l.disconnected(n.room, l.hosts[h].Room)
	if n.idleConns[h] > 0 {
		n.idleConns[h]--
	} else if apart { // the connection is never established
		s.lost = true
		l.scheduleOutcome(s, l.scenario.config(i).ConnectTimeout, policy.ConnectFailed)
		return
	} else {
		l.report.Handshakes++
		way *= 3 // one more round trip for the handshake
		if l.hosts[h].Up() && !l.hosts[h].Connect(l.now) {
			s.lost = true
			l.scheduleOutcome(s, way, policy.ConnectFailed)
			return
		}
	}
	if !apart {
		l.queue.push(event{at: l.now + way, kind: sendArrival, send: s})
	}
	l.queue.push(event{at: max(c.Deadline, l.now), kind: sendTimeout, send: s})
}

// scheduleOutcome schedules the arrival of an outcome at the dispatcher.
func (l *Lab) scheduleOutcome(s *send, after time.Duration, r policy.Result) {
	l.queue.push(event{at: l.now + after, kind: sendOutcome, a: int32(r), send: s})
}

// recordOutcome records the outcome of a send. Later outcomes of the same send are ignored.
func (l *Lab) recordOutcome(s *send, r policy.Result) {
	if s.ended {
		return
	}
	s.ended = true
	n := l.nodes[s.node]
	if n.incarnation != s.incarnation || !n.up {
		return
	}
	switch {
	case r.NeverRan():
		l.recordEvent(check.Event{Kind: check.NeverRan, Job: s.key.Job, Attempt: s.key.Attempt})
		fallthrough
	case r == policy.OK, r == policy.AppError:
		n.idleConns[s.host]++
	default:
		l.hosts[s.host].Disconnect()
	}
	if r == policy.OK {
		l.answer(s.try, check.Served)
	}
	l.enqueue(s.node, dispatch.AttemptEnded{Key: s.key, Result: r})
}

// deliverSend delivers a send to its host.
func (l *Lab) deliverSend(s *send) {
	h := l.hosts[s.host]
	way := l.delay(l.nodes[s.node].room, h.Room)
	switch {
	case l.lossProbability > 0 && l.chance.Float64() < l.lossProbability:
		s.lost = true
		return
	case l.resetProbability > 0 && l.chance.Float64() < l.resetProbability:
		s.lost = true
		l.scheduleOutcome(s, way, policy.ConnectionLost)
		return
	}
	work := s.try.job.size
	if h.Up() && h.Cold(l.now) {
		l.recordEvent(check.Event{Kind: check.Worked, Job: s.key.Job, Attempt: s.key.Attempt, Node: s.node, Host: s.host, Work: work, Capacity: h.Capacity(l.now)})
	}
	was := h.Toppled()
	v := h.Take(l.now, s.id, work, 1)
	if h.Toppled() && !was {
		l.report.Toppled++
		l.scheduleListUpdate(s.host, policy.Gone)
	}
	switch v {
	case fleet.Full:
		l.scheduleOutcome(s, way, policy.Full)
	case fleet.Broken:
		l.recordEvent(check.Event{Kind: check.Ran, Job: s.key.Job, Attempt: s.key.Attempt, Host: s.host})
		l.scheduleOutcome(s, way+failDelay, policy.AppError)
	case fleet.Down:
		l.scheduleOutcome(s, way, policy.ConnectFailed)
	}
	l.advanceHost(s.host)
}

// advanceHost processes a host's new notes and schedules its next event.
func (l *Lab) advanceHost(i int) {
	h := l.hosts[i]
	for _, n := range h.Advance(l.now) {
		s := l.sends[n.Job]
		if s == nil {
			continue
		}
		l.addToDigest(hostEvent, n.Job<<3|uint64(n.Kind))
		way := l.delay(l.nodes[s.node].room, h.Room)
		if n.Kind == fleet.Started {
			l.recordEvent(check.Event{Kind: check.Ran, Job: s.key.Job, Attempt: s.key.Attempt, Host: i})
		}
		switch n.Kind {
		case fleet.Started:
			l.queue.push(event{at: l.now + way, kind: messageArrival, a: int32(s.node), b: int32(s.incarnation), send: s,
				msg: dispatch.JobStarted{Key: s.key}})
			continue
		case fleet.Progressed:
			l.queue.push(event{at: l.now + way, kind: messageArrival, a: int32(s.node), b: int32(s.incarnation), send: s,
				msg: dispatch.JobProgress{Key: s.key, Share: n.Share}})
			continue
		case fleet.Done:
			l.recordCompletedWork(s, way)
			l.scheduleOutcome(s, way, policy.OK)
		case fleet.Returned:
			l.scheduleOutcome(s, way, policy.Full)
		case fleet.Lost:
			l.scheduleOutcome(s, way, policy.ConnectionLost)
		}
		delete(l.sends, n.Job)
	}
	l.scheduleHost(i)
}

func (l *Lab) scheduleHost(i int) {
	if at, ok := l.hosts[i].Next(); ok {
		at = max(at, l.now)
		if l.hostWake[i] == 0 || at < l.hostWake[i] {
			l.hostWake[i] = at
			l.queue.push(event{at: at, kind: hostEvent, a: int32(i)})
		}
	}
}

func (l *Lab) probe(i, host int, e *event) {
	h := l.hosts[host]
	m := e.msg.(dispatch.ProbeEnded)
	sent := m.Took
	if l.disconnected(l.nodes[i].room, h.Room) {
		m.Result, m.Took = policy.TimedOut, probeTimeout
		l.enqueueAfter(i, max(0, sent+probeTimeout-l.now), m)
		return
	}
	load, heard := h.Probe(l.now)
	way := l.delay(l.nodes[i].room, h.Room)
	switch {
	case heard:
		m.Load = &policy.Load{FreeSlots: load.FreeSlots, Queue: load.Queue, InFlight: load.InFlight, Busy: -1}
		m.Took = l.now + way - sent
		l.enqueueAfter(i, way, m)
	case h.Up(): // silent
		m.Result, m.Took = policy.TimedOut, probeTimeout
		l.enqueueAfter(i, max(0, sent+probeTimeout-l.now), m)
	default:
		m.Result, m.Took = policy.ConnectFailed, l.now+way-sent
		l.enqueueAfter(i, way, m)
	}
	l.scheduleHost(host)
}
