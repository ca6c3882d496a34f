package dispatch

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"gaugeslip/internal/siteloss"
	"gaugeslip/policy"
)

// SitesGate judges sites by what passes: probes that are answered or not, and jobs that are heard of. It only looks: the module
// learns of a silent host by its own question, and to tell it all hosts of a lost site at once, or to keep questions to them to a
// trickle, was measured and cost more on the site's return than it saved (docs/design/sites.md).
type SitesGate struct {
	judge   *siteloss.Judge
	set     siteloss.Settings
	hosts   map[uint32]int    // site by worker
	byAddr  map[string]uint32 // worker by address
	at      map[Key]uint32    // worker by send that is out
	scale   map[uint32]float64
	stepped time.Duration
	states  []atomic.Uint32
	names   []string
	cfg     policy.Config
	lim     siteloss.Limits
	order   []int // classes, the last refused first
	floor   float64
	work    []float64 // hinted, in seconds a second, by class
	workAt  time.Duration
	fleet   atomic.Pointer[siteloss.Fleet]
	planned time.Duration
}

// judgeEvery is how often sites are judged where nothing changes.
const judgeEvery = 100 * time.Millisecond

// planEvery is how often what a plan is made from is looked at anew, loadOver the time that the load is taken over.
const (
	planEvery = time.Second
	loadOver  = 10 * time.Second
)

// NewSitesGate makes a gate for a dispatcher with these settings. names are the sites', by number, order the classes in the order in
// which they are kept, floor the share of each that is kept first.
func NewSitesGate(l siteloss.Limits, cfg policy.Config, names []string, order []int, floor float64) *SitesGate {
	g := &SitesGate{lim: l, cfg: cfg, names: names, order: order, floor: floor,
		set: siteloss.Settings{Sites: max(cfg.Zones, 1), Own: cfg.Zone, WarmUp: cfg.WarmUp}}
	return g.Recreate().(*SitesGate)
}

// Recreate makes a gate that knows nothing.
func (g *SitesGate) Recreate() Gate {
	return &SitesGate{lim: g.lim, cfg: g.cfg, names: g.names, order: g.order, floor: g.floor, set: g.set, judge: siteloss.New(g.set),
		hosts: map[uint32]int{}, byAddr: map[string]uint32{}, at: map[Key]uint32{}, scale: map[uint32]float64{},
		states: make([]atomic.Uint32, g.set.Sites), work: make([]float64, len(g.cfg.Classes))}
}

// Fleet is what a plan can be made from now: hosts as listed, and the load that this dispatcher sees, taken for that of every other,
// as the front deals clients of a site out evenly; where sites have unlike traffic, it is not. Nil: nothing was listed yet. It may
// be called from any goroutine.
func (g *SitesGate) Fleet() *siteloss.Fleet { return g.fleet.Load() }

// arrived counts a job's work.
func (g *SitesGate) arrived(now time.Duration, m *JobArrived) {
	g.fade(now)
	g.work[m.Class] += m.Size.Seconds() / loadOver.Seconds()
}

func (g *SitesGate) fade(now time.Duration) {
	if now > g.workAt {
		f := math.Exp(-float64(now-g.workAt) / float64(loadOver))
		for i := range g.work {
			g.work[i] *= f
		}
		g.workAt = now
	}
}

// plan looks at the fleet anew.
func (g *SitesGate) plan(now time.Duration) {
	g.fade(now)
	f := &siteloss.Fleet{Usable: g.lim.Usable, ColdFrom: g.cfg.ColdFrom, WarmUp: g.cfg.WarmUp, Notice: g.lim.Notice}
	total := 0.0
	for _, w := range g.work {
		total += w
	}
	each := total * float64(max(g.cfg.Replicas, 1)) / float64(g.set.Sites)
	for n := range g.set.Sites {
		f.Sites = append(f.Sites, siteloss.Site{Name: g.name(n), Load: each})
	}
	for id, n := range g.hosts {
		f.Sites[n].Hosts++
		f.Sites[n].Capacity += g.scale[id]
	}
	for _, i := range g.order {
		c := siteloss.Class{Name: g.cfg.Classes[i].Name, Share: 1 / float64(len(g.order)), Floor: g.floor}
		if total > 0 {
			c.Share = g.work[i] / total
		}
		f.Classes = append(f.Classes, c)
	}
	g.fleet.Store(f)
}

func (g *SitesGate) name(n int) string {
	if n < len(g.names) {
		return g.names[n]
	}
	return fmt.Sprint(n)
}

// State is a site's at the last Step. It may be read from any goroutine.
func (g *SitesGate) State(site int) siteloss.State { return siteloss.State(g.states[site].Load()) }

// In takes in what tells of hosts.
func (g *SitesGate) In(now time.Duration, in []Message, p *Pass) {
	for _, m := range in {
		switch m := m.(type) {
		case JobArrived:
			g.arrived(now, &m)
		case HostList:
			g.listed(&m)
		case ProbeEnded:
			switch m.Result {
			case policy.OK:
				g.judge.Heard(now, m.Worker, true)
			case policy.TimedOut, policy.ConnectFailed: // a connection that does not come up, or is refused: nobody is there
				g.judge.Heard(now, m.Worker, false)
			}
		case JobStarted:
			g.heard(now, m.Key, true)
		case JobProgress:
			g.heard(now, m.Key, true)
		case AttemptEnded:
			switch m.Result {
			case policy.OK, policy.AppError, policy.Full, policy.Rejected:
				g.heard(now, m.Key, true)
			case policy.ConnectFailed:
				g.heard(now, m.Key, false)
			}
			delete(g.at, m.Key)
		}
		p.Forward(m)
	}
	if now-g.stepped < judgeEvery {
		return
	}
	g.stepped = now
	if now-g.planned >= planEvery && len(g.hosts) > 0 {
		g.planned = now
		g.plan(now)
	}
	for _, c := range g.judge.Step(now) {
		g.states[c.Site].Store(uint32(c.To))
		p.Emit(Log{Text: fmt.Sprintf("site %s: %v, was %v: %s", g.name(c.Site), c.To, c.From, c.Ground), Warn: c.To != siteloss.Serving})
	}
}

func (g *SitesGate) heard(now time.Duration, k Key, answered bool) {
	if id, ok := g.at[k]; ok {
		g.judge.Heard(now, id, answered)
	}
}

func (g *SitesGate) listed(m *HostList) {
	if m.Whole {
		for id := range g.hosts {
			g.judge.Listed(id, 0, true)
		}
		clear(g.hosts)
		clear(g.byAddr)
	}
	for i := range m.Hosts {
		h := &m.Hosts[i]
		id := WorkerID(h.Name)
		if h.State == policy.Gone || h.Zone < 0 || h.Zone >= g.set.Sites {
			g.judge.Listed(id, 0, true)
			delete(g.hosts, id)
			continue
		}
		g.hosts[id], g.byAddr[h.Addr], g.scale[id] = h.Zone, id, h.Scale
		g.judge.Listed(id, h.Zone, false)
	}
}

// Out notes where jobs go.
func (g *SitesGate) Out(_ time.Duration, out []Command, p *Pass) {
	for _, c := range out {
		if s, ok := c.(Send); ok {
			if id, ok := g.byAddr[s.Addr]; ok {
				g.at[s.Key] = id
			}
		}
		p.Emit(c)
	}
}

// Wake has nothing to wake for: what is not looked at need not be judged.
func (g *SitesGate) Wake() (time.Duration, bool) { return 0, false }

// Detached is 0: no job lives on here.
func (g *SitesGate) Detached() int { return 0 }

// ModuleLost forgets the sends that were out.
func (g *SitesGate) ModuleLost(time.Duration) { clear(g.at) }

// Owns is false: every job that passed is the module's.
func (g *SitesGate) Owns(uint64) bool { return false }
