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
	judge        *siteloss.Judge
	settings     siteloss.Settings
	siteByWorker map[uint32]int    // site by worker
	workerByAddr map[string]uint32 // worker by address
	workerBySend map[Key]uint32    // worker by send that is out
	scale        map[uint32]float64
	judgedAt     time.Duration
	states       []atomic.Uint32
	names        []string
	cfg          policy.Config
	limits       siteloss.Limits
	order        []int // classes, the last refused first
	floor        float64
	work         []float64 // hinted, in seconds a second, by class
	workAt       time.Duration
	fleet        atomic.Pointer[siteloss.Fleet]
	plannedAt    time.Duration
}

// judgeInterval is how often sites are judged where nothing changes.
const judgeInterval = 100 * time.Millisecond

// planInterval is how often what a plan is made from is looked at anew, loadDecay the time that the load is taken over.
const (
	planInterval = time.Second
	loadDecay    = 10 * time.Second
)

// NewSitesGate makes a gate for a dispatcher with these settings. names are the sites', by number, order the classes in the order in
// which they are kept, floor the share of each that is kept first.
func NewSitesGate(l siteloss.Limits, cfg policy.Config, names []string, order []int, floor float64) *SitesGate {
	g := &SitesGate{limits: l, cfg: cfg, names: names, order: order, floor: floor,
		settings: siteloss.Settings{Sites: max(cfg.Zones, 1), Own: cfg.Zone, WarmUp: cfg.WarmUp}}
	return g.Anew().(*SitesGate)
}

// Anew makes a gate that knows nothing.
func (g *SitesGate) Anew() Gate {
	return &SitesGate{limits: g.limits, cfg: g.cfg, names: g.names, order: g.order, floor: g.floor, settings: g.settings, judge: siteloss.New(g.settings),
		siteByWorker: map[uint32]int{}, workerByAddr: map[string]uint32{}, workerBySend: map[Key]uint32{}, scale: map[uint32]float64{},
		states: make([]atomic.Uint32, g.settings.Sites), work: make([]float64, len(g.cfg.Classes))}
}

// Fleet is what a plan can be made from now: hosts as listed, and the load that this dispatcher sees, taken for that of every other,
// as the front deals clients of a site out evenly; where sites have unlike traffic, it is not. Nil: nothing was listed yet. It may
// be called from any goroutine.
func (g *SitesGate) Fleet() *siteloss.Fleet { return g.fleet.Load() }

// addWork counts a job's work.
func (g *SitesGate) addWork(now time.Duration, m *Arrived) {
	g.decayWork(now)
	g.work[m.Class] += m.Size.Seconds() / loadDecay.Seconds()
}

func (g *SitesGate) decayWork(now time.Duration) {
	if now > g.workAt {
		f := math.Exp(-float64(now-g.workAt) / float64(loadDecay))
		for i := range g.work {
			g.work[i] *= f
		}
		g.workAt = now
	}
}

// updateFleet looks at the fleet anew.
func (g *SitesGate) updateFleet(now time.Duration) {
	g.decayWork(now)
	f := &siteloss.Fleet{Usable: g.limits.Usable, ColdFrom: g.cfg.ColdFrom, WarmUp: g.cfg.WarmUp, Notice: g.limits.Notice}
	total := 0.0
	for _, w := range g.work {
		total += w
	}
	each := total * float64(max(g.cfg.Replicas, 1)) / float64(g.settings.Sites)
	for n := range g.settings.Sites {
		f.Sites = append(f.Sites, siteloss.Site{Name: g.siteName(n), Load: each})
	}
	for id, n := range g.siteByWorker {
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

func (g *SitesGate) siteName(n int) string {
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
		case Arrived:
			g.addWork(now, &m)
		case Listed:
			g.updateHosts(&m)
		case Probed:
			switch m.Result {
			case policy.OK:
				g.judge.Heard(now, m.Worker, true)
			case policy.TimedOut, policy.ConnectFailed: // a connection that does not come up, or is refused: nobody is there
				g.judge.Heard(now, m.Worker, false)
			}
		case Started:
			g.recordAnswer(now, m.Key, true)
		case Progress:
			g.recordAnswer(now, m.Key, true)
		case Ended:
			switch m.Result {
			case policy.OK, policy.AppError, policy.Full, policy.Rejected:
				g.recordAnswer(now, m.Key, true)
			case policy.ConnectFailed:
				g.recordAnswer(now, m.Key, false)
			}
			delete(g.workerBySend, m.Key)
		}
		p.On(m)
	}
	if now-g.judgedAt < judgeInterval {
		return
	}
	g.judgedAt = now
	if now-g.plannedAt >= planInterval && len(g.siteByWorker) > 0 {
		g.plannedAt = now
		g.updateFleet(now)
	}
	for _, c := range g.judge.Step(now) {
		g.states[c.Site].Store(uint32(c.To))
		p.Do(Log{Text: fmt.Sprintf("site %s: %v, was %v: %s", g.siteName(c.Site), c.To, c.From, c.Ground), Warn: c.To != siteloss.Serving})
	}
}

func (g *SitesGate) recordAnswer(now time.Duration, k Key, answered bool) {
	if id, ok := g.workerBySend[k]; ok {
		g.judge.Heard(now, id, answered)
	}
}

func (g *SitesGate) updateHosts(m *Listed) {
	if m.Whole {
		for id := range g.siteByWorker {
			g.judge.Listed(id, 0, true)
		}
		clear(g.siteByWorker)
		clear(g.workerByAddr)
	}
	for i := range m.Hosts {
		h := &m.Hosts[i]
		id := WorkerID(h.Name)
		if h.State == policy.Gone || h.Zone < 0 || h.Zone >= g.settings.Sites {
			g.judge.Listed(id, 0, true)
			delete(g.siteByWorker, id)
			continue
		}
		g.siteByWorker[id], g.workerByAddr[h.Addr], g.scale[id] = h.Zone, id, h.Scale
		g.judge.Listed(id, h.Zone, false)
	}
}

// Out notes where jobs go.
func (g *SitesGate) Out(_ time.Duration, out []Command, p *Pass) {
	for _, c := range out {
		if s, ok := c.(Send); ok {
			if id, ok := g.workerByAddr[s.Addr]; ok {
				g.workerBySend[s.Key] = id
			}
		}
		p.Do(c)
	}
}

// Wake has nothing to wake for: what is not looked at need not be judged.
func (g *SitesGate) Wake() (time.Duration, bool) { return 0, false }

// Detached is 0: no job lives on here.
func (g *SitesGate) Detached() int { return 0 }

// Crashed forgets the sends that were out.
func (g *SitesGate) Crashed(time.Duration) { clear(g.workerBySend) }

// Keeps is false: every job that passed is the module's.
func (g *SitesGate) Keeps(uint64) bool { return false }
