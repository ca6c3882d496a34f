package lab

import (
	"slices"
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/policy"
)

// killAndRestart kills a dispatcher and schedules its restart after startDelay.
func (l *Lab) killAndRestart(i int) {
	l.kill(i)
	l.queue.push(event{at: l.now + startDelay, kind: dispatcherStart, a: int32(i)})
}

// kill ends a dispatcher's incarnation: its jobs are lost, and its clients notice.
func (l *Lab) kill(i int) {
	n := l.nodes[i]
	n.up, n.receivesClients = false, false
	l.recordEvent(check.Event{Kind: check.Killed, Node: i})
	ids := make([]uint64, 0, len(n.openTries))
	for id := range n.openTries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := n.openTries[id]
		t.answered = true
		if t.job.waiting != nil { // waiting jobs are held only in memory
			l.report.WaitingLost++
			continue
		}
		l.report.Cut++
		l.retry(t.job, 0, false)
	}
	clear(n.openTries)
}

// changeSite begins or ends the loss of a room's dispatchers, its links to other rooms and its link to discovery. The front sends
// clients to the lost dispatchers until it notices. changeTrouble handles the room's hosts.
func (l *Lab) changeSite(t *Trouble, on bool) {
	room, by := t.Room-1, map[bool]int{true: 1, false: -1}[on]
	if t.loses("links") {
		l.isolatedRooms[room] += by
	}
	if t.loses("discovery") {
		l.roomsWithoutDiscovery[room] += by
	}
	for i, n := range l.nodes {
		switch {
		case n.room != room:
		case t.loses("dispatchers") && on && n.up:
			l.kill(i)
			n.receivesClients = true
			noticed := minNoticeDelay + time.Duration(l.chance.Int64N(int64(maxNoticeDelay-minNoticeDelay)))
			l.queue.push(event{at: l.now + noticed, kind: dispatcherKill, a: int32(i), b: -2})
		case t.loses("dispatchers") && !on && !n.up:
			l.queue.push(event{at: l.now + startDelay, kind: dispatcherStart, a: int32(i)})
		case t.loses("discovery") && on && n.up && n.watching:
			l.enqueueAfter(i, l.scenario.delay, dispatch.ListLost{})
		}
	}
}

// scheduleListUpdate schedules an update of a host in the host list.
func (l *Lab) scheduleListUpdate(host int, s policy.State) {
	l.queue.push(event{at: l.now + l.listDelay, kind: listUpdate, a: int32(host), b: int32(s)})
}

// publish updates a host in the host list and sends the update to the watching dispatchers.
func (l *Lab) publish(host int, s policy.State) {
	l.listVersion++
	e := &l.hostList[host]
	e.State, e.StartedAt = s, l.hosts[host].Born()
	if l.listDown {
		return
	}
	for i, n := range l.nodes {
		if n.up && n.watching && l.roomsWithoutDiscovery[n.room] == 0 {
			l.enqueueAfter(i, l.scenario.delay, dispatch.HostList{Version: l.listVersion, Hosts: []dispatch.Host{*e}})
		}
	}
}

// restart restarts a host, cold. The host list shows it after a delay.
func (l *Lab) restart(h int) {
	l.hosts[h].Start(l.now)
	l.recordEvent(check.Event{Kind: check.Reborn, Host: h})
	l.scheduleListUpdate(h, policy.Ready)
}

// changeTrouble begins or ends a trouble.
func (l *Lab) changeTrouble(i int, on bool) {
	t := l.scenario.Troubles[i]
	if on && t.Room > 0 {
		l.affectedHosts[i] = l.affectedHosts[i][:0]
		for h := range l.hosts {
			if l.hosts[h].Room == t.Room-1 {
				l.affectedHosts[i] = append(l.affectedHosts[i], h)
			}
		}
	} else if on && t.Part > 0 && t.Kind != "heavy" && t.Kind != "restart" {
		l.affectedHosts[i] = l.chance.Perm(len(l.hosts))[:t.affectedCount(len(l.hosts))]
		slices.Sort(l.affectedHosts[i])
	}
	share := map[bool]float64{true: max(t.Share, 0.001), false: 0}[on]
	for _, h := range l.affectedHosts[i] {
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
				l.scheduleListUpdate(h, policy.Gone)
			} else {
				l.restart(h)
			}
		case "drain":
			if on {
				host.Drain(l.now)
				l.scheduleListUpdate(h, policy.Draining)
			} else {
				host.Kill(l.now)
				l.restart(h)
			}
		}
		if on && l.idealLanes != nil && !host.Reachable() {
			l.releaseLostHost(host)
		}
		l.advanceHost(h)
	}
	switch t.Kind {
	case "site":
		l.changeSite(&t, on)
	case "heavy":
		if delete(l.heavyTroubles, l.scenario.class(t.Class)); on {
			l.heavyTroubles[l.scenario.class(t.Class)] = t
		}
	case "surge":
		if on {
			l.loadFactor *= t.Times
		} else {
			l.loadFactor /= t.Times
		}
	case "silence":
		l.lossProbability = share
	case "reset":
		l.resetProbability = share
	case "stale_list":
		if l.listDelay = l.scenario.World.listLate; on {
			l.listDelay += t.length
		}
	case "discovery":
		l.listDown = on
		for i, n := range l.nodes {
			if on && n.up && n.watching {
				l.enqueueAfter(i, l.scenario.delay, dispatch.ListLost{})
			}
		}
	case "restart":
		if on { // one after the other, spread over the trouble's length
			n := len(l.nodes)
			if t.Part > 0 {
				n = t.affectedCount(n)
			}
			for k := range n {
				l.queue.push(event{at: l.now + t.length*time.Duration(k)/time.Duration(n), kind: dispatcherStop, a: int32(k)})
			}
		}
	}
}
