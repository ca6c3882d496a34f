package rig

import (
	"errors"
	"syscall"

	"gaugeslip/internal/scenario"
)

// beginSiteTrouble takes a room down as far as the trouble's loses say: its hosts vanish, its dispatchers are killed, its links to other
// rooms and to discovery are silent. end restores the room, with cold hosts and with dispatchers that have new seeds.
func (r *rig) beginSiteTrouble(t *Trouble) (end func() error) {
	room := t.Room - 1
	var undo []func() error
	put := func(l *Link, f *Fault) {
		if err := l.AddFault(f); err != nil {
			r.logf("site: %v", err)
		}
		undo = append(undo, func() error { return l.RemoveFault(f) })
	}
	silent := &Fault{Silent: Both}
	for _, n := range r.nodes {
		mine := n.number%r.sc.Rooms == room
		for h := range n.hosts {
			if scenario.Loses(t.Loses, "links") && mine != (h%r.sc.Rooms == room) {
				put(n.hosts[h], silent)
			}
		}
		if mine && scenario.Loses(t.Loses, "discovery") {
			put(n.discovery[0], silent)
			put(n.discovery[1], silent)
		}
		if mine && scenario.Loses(t.Loses, "dispatchers") {
			n.proc.Signal(syscall.SIGKILL)
			undo = append(undo, func() error {
				n.proc.Await(stopTimeout)
				return n.proc.Start()
			})
		}
	}
	for h, host := range r.fleet.Hosts {
		if scenario.Loses(t.Loses, "hosts") && h%r.sc.Rooms == room {
			host.Vanish()
			undo = append(undo, host.Restart)
		}
	}
	return func() (err error) {
		for _, do := range undo {
			err = errors.Join(err, do())
		}
		return err
	}
}

// siteLogLine marks the lines of a dispatcher's log about the state of a site. They are copied for readers; no rule uses them.
const siteLogLine = "msg=\"site "
