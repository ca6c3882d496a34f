package lab

import (
	"slices"
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/policy"
)

// carry does what a dispatcher says.
func (l *Lab) carry(i int, c dispatch.Command) {
	n := l.nodes[i]
	switch c := c.(type) {
	case dispatch.Send:
		l.send(i, c)
	case dispatch.CancelSend:
		if s := l.sends[sendID(c.Key)]; s != nil && s.node == i {
			l.hosts[s.host].Drop(l.now, s.id)
			l.plan(s.host)
			l.outcome(s, policy.Cancelled)
		}
	case dispatch.LocalReply:
		t := n.open[c.Job]
		if t == nil {
			return
		}
		answer := check.Failed
		if c.Refused {
			answer = check.Refused
		}
		switch {
		case t.order.wait != nil:
			l.rep.WaitingLost++
		case c.Refused:
			l.rep.Refused++
		default:
			l.rep.Failed++
		}
		l.answer(t, answer)
		l.again(t.order, c.RetryAfter, c.Refused)
	case dispatch.Probe:
		h := l.byAdr[c.Addr]
		l.rep.Probes++
		l.cal.push(event{at: l.now + l.delay(n.room, l.hosts[h].Room), kind: probes, a: int32(i), b: int32(h),
			msg: dispatch.ProbeEnded{Worker: c.Worker, Took: l.now}})
	case dispatch.Watch:
		if l.down || l.deaf[n.room] > 0 {
			l.later(i, 250*time.Millisecond, dispatch.ListLost{})
			return
		}
		n.watching = true
		l.later(i, 2*l.sc.delay+time.Millisecond, dispatch.HostList{Version: l.seq, Whole: true, Hosts: slices.Clone(l.list)})
	}
}

// later delivers a message to a dispatcher after a while, if it still lives.
func (l *Lab) later(i int, after time.Duration, m dispatch.Message) {
	l.cal.push(event{at: l.now + after, kind: toNode, a: int32(i), b: int32(l.nodes[i].life), msg: m})
}

// deliver hands a message over, with what is known only when it comes.
func (l *Lab) deliver(i int, e *event) {
	n := l.nodes[i]
	switch m := e.msg.(type) {
	case dispatch.HostList:
		if m.Whole {
			n.known = slices.Clone(m.Hosts)
		}
		for _, h := range m.Hosts {
			k := check.Untold
			if h.State != policy.Ready {
				k = check.Told
			}
			l.see(check.Event{Kind: k, Node: i, Host: l.byAdr[h.Addr]})
			if h.StartedAt == l.hosts[l.byAdr[h.Addr]].Born() {
				l.see(check.Event{Kind: check.Knows, Node: i, Host: l.byAdr[h.Addr]})
			}
			if !m.Whole {
				for j := range n.known {
					if n.known[j].Name == h.Name {
						n.known[j] = h
					}
				}
			}
		}
	case dispatch.ListLost:
		n.watching = false
	}
	l.tell(i, e.msg)
}
