package lab

import (
	"slices"
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/policy"
)

// execute executes a command of a dispatcher.
func (l *Lab) execute(i int, c dispatch.Command) {
	n := l.nodes[i]
	switch c := c.(type) {
	case dispatch.Send:
		l.send(i, c)
	case dispatch.CancelSend:
		if s := l.sends[sendID(c.Key)]; s != nil && s.node == i {
			l.hosts[s.host].Drop(l.now, s.id)
			l.scheduleHost(s.host)
			l.recordOutcome(s, policy.Cancelled)
		}
	case dispatch.LocalReply:
		t := n.openTries[c.Job]
		if t == nil {
			return
		}
		answer := check.Failed
		if c.Refused {
			answer = check.Refused
		}
		switch {
		case t.job.waiting != nil:
			l.report.WaitingLost++
		case c.Refused:
			l.report.Refused++
		default:
			l.report.Failed++
		}
		l.answer(t, answer)
		l.retry(t.job, c.RetryAfter, c.Refused)
	case dispatch.Probe:
		h := l.hostByAddr[c.Addr]
		l.report.Probes++
		l.queue.push(event{at: l.now + l.delay(n.room, l.hosts[h].Room), kind: probeArrival, a: int32(i), b: int32(h),
			msg: dispatch.ProbeEnded{Worker: c.Worker, Took: l.now}})
	case dispatch.Watch:
		if l.listDown || l.roomsWithoutDiscovery[n.room] > 0 {
			l.enqueueAfter(i, 250*time.Millisecond, dispatch.ListLost{})
			return
		}
		n.watching = true
		l.enqueueAfter(i, 2*l.scenario.delay+time.Millisecond, dispatch.HostList{Version: l.listVersion, Whole: true, Hosts: slices.Clone(l.hostList)})
	}
}

// enqueueAfter schedules the delivery of a message to a dispatcher's present incarnation.
func (l *Lab) enqueueAfter(i int, after time.Duration, m dispatch.Message) {
	l.queue.push(event{at: l.now + after, kind: messageArrival, a: int32(i), b: int32(l.nodes[i].incarnation), msg: m})
}

// deliver adds a message to a dispatcher's inbox and fills in what is known only at the time of delivery.
func (l *Lab) deliver(i int, e *event) {
	n := l.nodes[i]
	switch m := e.msg.(type) {
	case dispatch.HostList:
		if m.Whole {
			n.knownHosts = slices.Clone(m.Hosts)
		}
		for _, h := range m.Hosts {
			k := check.Untold
			if h.State != policy.Ready {
				k = check.Told
			}
			l.recordEvent(check.Event{Kind: k, Node: i, Host: l.hostByAddr[h.Addr]})
			if h.StartedAt == l.hosts[l.hostByAddr[h.Addr]].Born() {
				l.recordEvent(check.Event{Kind: check.Knows, Node: i, Host: l.hostByAddr[h.Addr]})
			}
			if !m.Whole {
				for j := range n.knownHosts {
					if n.knownHosts[j].Name == h.Name {
						n.knownHosts[j] = h
					}
				}
			}
		}
	case dispatch.ListLost:
		n.watching = false
	}
	l.enqueue(i, e.msg)
}
