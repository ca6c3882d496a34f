package lab

import (
	"slices"
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/policy"
)

// die kills a dispatcher, which starts again at once.
func (l *Lab) die(i int) {
	l.fell(i)
	l.cal.push(event{at: l.now + startsIn, kind: returns, a: int32(i)})
}

// fell ends a dispatcher's life: what it held is lost, and its clients notice.
func (l *Lab) fell(i int) {
	n := l.nodes[i]
	n.up, n.dealt = false, false
	l.see(check.Event{Kind: check.Killed, Node: i})
	ids := make([]uint64, 0, len(n.open))
	for id := range n.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := n.open[id]
		t.answered = true
		if t.order.wait != nil { // it lives in memory alone
			l.rep.WaitingLost++
			continue
		}
		l.rep.Cut++
		l.again(t.order, 0, false)
	}
	clear(n.open)
}

// site takes a room, or gives it back: its dispatchers, which the front goes on dealing out until it notices, its ways to other
// rooms, its way to discovery. Its hosts are trouble's.
func (l *Lab) site(t *Trouble, on bool) {
	room, by := t.Room-1, map[bool]int{true: 1, false: -1}[on]
	if t.loses("links") {
		l.cut[room] += by
	}
	if t.loses("discovery") {
		l.deaf[room] += by
	}
	for i, n := range l.nodes {
		switch {
		case n.room != room:
		case t.loses("dispatchers") && on && n.up:
			l.fell(i)
			n.dealt = true
			noticed := noticeLeast + time.Duration(l.chance.Int64N(int64(noticeMost-noticeLeast)))
			l.cal.push(event{at: l.now + noticed, kind: dies, a: int32(i), b: -2})
		case t.loses("dispatchers") && !on && !n.up:
			l.cal.push(event{at: l.now + startsIn, kind: returns, a: int32(i)})
		case t.loses("discovery") && on && n.up && n.watching:
			l.later(i, l.sc.delay, dispatch.ListLost{})
		}
	}
}

// change has the list tell of a host after a while.
func (l *Lab) change(host int, s policy.State) {
	l.cal.push(event{at: l.now + l.late, kind: lists, a: int32(host), b: int32(s)})
}

// publish puts what is true of a host into the list, and tells those who watch.
func (l *Lab) publish(host int, s policy.State) {
	l.seq++
	e := &l.list[host]
	e.State, e.StartedAt = s, l.hosts[host].Born()
	if l.down {
		return
	}
	for i, n := range l.nodes {
		if n.up && n.watching && l.deaf[n.room] == 0 {
			l.later(i, l.sc.delay, dispatch.HostList{Version: l.seq, Hosts: []dispatch.Host{*e}})
		}
	}
}

// restart starts a host anew, cold; the list tells of it late.
func (l *Lab) restart(h int) {
	l.hosts[h].Start(l.now)
	l.see(check.Event{Kind: check.Reborn, Host: h})
	l.change(h, policy.Ready)
}

// trouble begins or ends one.
func (l *Lab) trouble(i int, on bool) {
	t := l.sc.Troubles[i]
	if on && t.Room > 0 {
		l.hit[i] = l.hit[i][:0]
		for h := range l.hosts {
			if l.hosts[h].Room == t.Room-1 {
				l.hit[i] = append(l.hit[i], h)
			}
		}
	} else if on && t.Part > 0 && t.Kind != "heavy" && t.Kind != "restart" {
		l.hit[i] = l.chance.Perm(len(l.hosts))[:t.partOf(len(l.hosts))]
		slices.Sort(l.hit[i])
	}
	share := map[bool]float64{true: max(t.Share, 0.001), false: 0}[on]
	for _, h := range l.hit[i] {
		host := l.hosts[h]
		switch t.Kind {
		case "site":
			switch {
			case !t.loses("hosts"):
			case on:
				host.Vanish(l.now)
			default:
				host.Kill(l.now)
				l.restart(h)
			}
		case "vanish":
			if on {
				host.Vanish(l.now)
			} else {
				host.Kill(l.now)
				l.restart(h)
			}
		case "errors":
			host.Fail(share)
		case "kill":
			if on {
				host.Kill(l.now)
				l.change(h, policy.Gone)
			} else {
				l.restart(h)
			}
		case "drain":
			if on {
				host.Drain(l.now)
				l.change(h, policy.Draining)
			} else {
				host.Kill(l.now)
				l.restart(h)
			}
		}
		if on && l.ideal != nil && !host.Reachable() {
			l.bereave(host)
		}
		l.act(h)
	}
	switch t.Kind {
	case "site":
		l.site(&t, on)
	case "heavy":
		if delete(l.heavy, l.sc.class(t.Class)); on {
			l.heavy[l.sc.class(t.Class)] = t
		}
	case "surge":
		if on {
			l.surge *= t.Times
		} else {
			l.surge /= t.Times
		}
	case "silence":
		l.lost = share
	case "reset":
		l.reset = share
	case "stale_list":
		if l.late = l.sc.World.listLate; on {
			l.late += t.length
		}
	case "discovery":
		l.down = on
		for i, n := range l.nodes {
			if on && n.up && n.watching {
				l.later(i, l.sc.delay, dispatch.ListLost{})
			}
		}
	case "restart":
		if on { // one after the other, spread over its length
			n := len(l.nodes)
			if t.Part > 0 {
				n = t.partOf(n)
			}
			for k := range n {
				l.cal.push(event{at: l.now + t.length*time.Duration(k)/time.Duration(n), kind: stops, a: int32(k)})
			}
		}
	}
}
