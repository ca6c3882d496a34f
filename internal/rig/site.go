package rig

import (
	"errors"
	"syscall"

	"gaugeslip/internal/scenario"
)

// beginSite takes a room: its hosts vanish, its dispatchers die, it has no way to other rooms or to discovery. What ends it gives the
// room back, its hosts cold and its dispatchers with new seeds.
func (r *rig) beginSite(t *Trouble) (end func() error) {
	room := t.Room - 1
	var undo []func() error
	put := func(l *Link, f *Fault) {
		if err := l.Put(f); err != nil {
			r.tell("site: %v", err)
		}
		undo = append(undo, func() error { return l.Take(f) })
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
			put(n.disc[0], silent)
			put(n.disc[1], silent)
		}
		if mine && scenario.Loses(t.Loses, "dispatchers") {
			n.proc.Signal(syscall.SIGKILL)
			undo = append(undo, func() error {
				n.proc.Await(stopWithin)
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

// judged is a line of a dispatcher's log that says what it holds of a site; for people, no rule reads it.
const judged = "msg=\"site "
