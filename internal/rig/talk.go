package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"gaugeslip/internal/scenario"
)

// Budgets enables the settings block of that name at every dispatcher, and with way "talk" the block peers.
type Budgets struct {
	Way    string    `hcl:"way"`
	Floor  float64   `hcl:"floor,optional"`
	Probes float64   `hcl:"probes,optional"`
	Drift  float64   `hcl:"drift,optional"`
	Range  hcl.Range `hcl:",def_range"`
}

// Tenant is a group of clients with a quota over the whole fleet.
type Tenant struct {
	Name  string    `hcl:"name,label"`
	Part  float64   `hcl:"part"`  // share of the jobs
	Quota float64   `hcl:"quota"` // jobs per second
	Range hcl.Range `hcl:",def_range"`
}

func (s *Scenario) checkTenants(c *scenario.Checker) {
	parts := 0.0
	for _, t := range s.Tenants {
		c.Want(t.Part > 0 && t.Part <= 1, t.Range, "part", "over 0 to 1")
		c.Want(t.Quota > 0, t.Range, "quota", "more than 0")
		parts += t.Part
	}
	c.Want(parts <= 1+1e-9, s.Range, "tenant", "the parts come to more than 1")
	if b := s.Budgets; b != nil {
		c.Want(b.Way == "static" || b.Way == "talk", b.Range, "way", `%q is neither "static" nor "talk"`, b.Way)
		c.Want(b.Probes >= 0, b.Range, "probes", "0 or more")
	}
}

// peerLink is the link from one dispatcher to another.
type peerLink struct {
	from, to int
	link     *Link
}

// openPeerLinks opens the links between all dispatchers. Their listen addresses must be reserved before.
func (r *rig) openPeerLinks() error {
	for i := range r.sc.Dispatchers {
		for j := range r.sc.Dispatchers {
			if i == j {
				continue
			}
			seed := r.seed<<20 + uint64(i)<<10 + uint64(j)
			w := &peerLink{from: i, to: j}
			r.peerLinks = append(r.peerLinks, w)
			var err error
			if w.link, err = NewLink(ip(i, 100+j)+":0", r.peerAddrs[j], "", seed); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *rig) closePeerLinks() {
	for _, w := range r.peerLinks {
		if w.link != nil {
			w.link.Close()
		}
	}
}

// writeSiteFile writes a dispatcher's settings file and returns its path, or an empty path if it needs none.
func (r *rig) writeSiteFile(n *node) (string, error) {
	var text strings.Builder
	if r.sc.Overload {
		text.WriteString("overload {}\n")
	}
	if r.sc.Sites {
		text.WriteString("sites {}\n")
	}
	if b := r.sc.Budgets; b != nil {
		fmt.Fprintf(&text, "budgets {\n  way = %q\n  probes = %g\n  floor = %g\n}\n", b.Way, b.Probes, b.Floor)
		if b.Way == "talk" {
			var members []string
			for j := range r.sc.Dispatchers {
				members = append(members, fmt.Sprintf("%q", r.peerAddr(n.number, j)))
			}
			fmt.Fprintf(&text, "peers {\n  listen = %q\n  members = [%s]\n", r.peerAddrs[n.number], strings.Join(members, ", "))
			if b.Drift > 0 {
				fmt.Fprintf(&text, "  drift = %g\n", b.Drift)
			}
			text.WriteString("}\n")
		}
	}
	if text.Len() == 0 {
		return "", nil
	}
	path := filepath.Join(r.dir, fmt.Sprint("n", n.number), "site.hcl")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		return "", fmt.Errorf("rig: %w", err)
	}
	return path, nil
}

// peerAddr returns the address at which dispatcher i reaches dispatcher j.
func (r *rig) peerAddr(i, j int) string {
	if i == j {
		return r.peerAddrs[i]
	}
	for _, w := range r.peerLinks {
		if w.from == i && w.to == j {
			return w.link.Addr
		}
	}
	return ""
}

// peerKinds are the troubles of links between dispatchers only. Troubles of all links affect these links with path "peer".
var peerKinds = map[string]bool{"islands": true, "lossy": true}

// beginPeerTrouble starts a trouble of the links between dispatchers. It affects the data that the given dispatchers send to the
// others, the data that they receive from them, or both.
func (r *rig) beginPeerTrouble(t *Trouble, nodes []int) func() error {
	in := func(i int) bool { return slices.Contains(nodes, i) }
	hit := func(w *peerLink) bool {
		switch out := in(w.from) && !in(w.to); {
		case t.Kind == "lossy" || t.Kind == "delay":
			return in(w.from) || in(w.to)
		case out:
			return t.direction&Forth != 0
		default:
			return in(w.to) && !in(w.from) && t.direction&Back != 0
		}
	}
	if t.Kind == "islands" {
		island := make([]int, r.sc.Dispatchers)
		for k, i := range rand.New(rand.NewPCG(r.seed, uint64(t.at))).Perm(len(island)) {
			island[i] = k % max(2, int(t.Times))
		}
		hit = func(w *peerLink) bool { return island[w.from] != island[w.to] }
	}
	fault := &Fault{Delay: t.delay, Jitter: t.jitter}
	switch t.Kind {
	case "lossy":
		fault.LossProbability = t.Share
	case "silent", "islands":
		fault.Silent = Both
	case "refuse":
		fault.Refuse = true
	}
	var on []*peerLink
	var errs error
	for _, w := range r.peerLinks {
		if hit(w) {
			on = append(on, w)
			errs = errors.Join(errs, w.link.AddFault(fault))
		}
	}
	if errs != nil {
		r.logf("%s: %v", t.Kind, errs)
	}
	return func() (err error) {
		for _, w := range on {
			err = errors.Join(err, w.link.RemoveFault(fault))
		}
		return err
	}
}

// admittedJob is a job of a tenant that a dispatcher has admitted, with the time at which its client sent it.
type admittedJob struct {
	at     time.Duration
	tenant int
}
