package rig

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"gaugeslip/internal/pause"
)

// node is one dispatcher with its process and links.
type node struct {
	number              int
	listen              string
	proc                *Process
	client              *Link
	discovery           [2]*Link // two links to discovery; a reload switches between them
	hosts               []*Link
	usesSecondDiscovery bool // the second link to discovery is in use
}

// addDispatcher creates dispatcher i with its links and starts it.
func (r *rig) addDispatcher(i int) (err error) {
	n := &node{number: i}
	if n.listen, err = r.reserve(ip(i, 1)); err != nil {
		return err
	}
	own := r.seed<<16 + uint64(i)<<8
	link := func(part int, to, source string) *Link {
		if err != nil {
			return nil
		}
		var l *Link
		l, err = NewLink(ip(i, part)+":0", to, source, own+uint64(part))
		return l
	}
	for h, host := range r.fleet.Hosts {
		n.hosts = append(n.hosts, link(10+h, host.Addr, ip(i, 1)))
	}
	n.client = link(2, n.listen, "")
	if err == nil {
		var view string
		if view, err = r.fleet.View(func(h int) string { return n.hosts[h].Addr }); err == nil {
			n.discovery = [2]*Link{link(3, view, ""), link(4, view, "")}
		}
	}
	n.proc = &Process{starter: r.starter, newCommand: func(incarnation int) (*exec.Cmd, error) { return r.command(n, incarnation) }}
	r.nodes = append(r.nodes, n) // before the check of err, so that close ends what was created
	if err != nil {
		return err
	}
	r.dispatcherByIP[ip(i, 1)] = i
	weight := 1.0
	if i == 0 && r.sc.Uneven > 0 {
		weight = r.sc.Uneven
	}
	r.front.members = append(r.front.members, &member{proc: n.proc, link: n.client, room: i % r.sc.Rooms, weight: weight})
	return n.proc.Start()
}

// command writes a dispatcher's configuration and returns the command of one incarnation.
func (r *rig) command(n *node, incarnation int) (*exec.Cmd, error) {
	dir := filepath.Join(r.dir, fmt.Sprint("n", n.number))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if err := r.writeConfig(n, incarnation); err != nil {
		return nil, err
	}
	args := []string{"serve", "--config", filepath.Join(dir, "config.json")}
	site := r.opt.Site
	if site == "" {
		var err error
		if site, err = r.writeSiteFile(n); err != nil {
			return nil, err
		}
	}
	if site != "" {
		args = append(args, "--site", site)
	}
	c := exec.Command(r.program, args...)
	c.Env = append(os.Environ(), "TMPDIR="+dir, "NODE_CONFIG=", "NODE_OPS=", "NODE_INHERITED_FD=")
	return c, nil
}

// awaitDispatchers waits until the front regards every dispatcher as available.
func (r *rig) awaitDispatchers(ctx context.Context) error {
	until := time.Now().Add(startTimeout)
	for _, m := range r.front.members {
		for !m.isAvailable() {
			if time.Now().After(until) || pause.For(ctx, 20*time.Millisecond) != nil {
				var errorLines []string
				for _, n := range r.nodes {
					errorLines = append(errorLines, n.proc.log.lines("level=ERROR", "panic", "gaugeslip: ")...)
				}
				return fmt.Errorf("rig: not every dispatcher is up: %q", errorLines)
			}
		}
	}
	return nil
}
