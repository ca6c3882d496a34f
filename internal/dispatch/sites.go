package dispatch

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"gaugeslip/internal/siteloss"
	"gaugeslip/policy"
)

// SitesGate judges the state of sites from the answers to probes and jobs that pass through it. It changes no decision: the module
// learns of a silent host from its own probes. Reporting all hosts of a lost site to the module at once, or limiting probes to them,
// was measured too. Both cost more on the site's return than they saved (docs/design/sites.md).
type SitesGate struct {
	judge        *siteloss.Judge
	settings     siteloss.Settings
	siteByWorker map[uint32]int
	workerByAddr map[string]uint32
	workerBySend map[Key]uint32 // of attempts in flight
	scale        map[uint32]float64
	judgedAt     time.Duration
	states       []atomic.Uint32
	names        []string
	cfg          policy.Config
	limits       siteloss.Limits
	order        []int // classes, the one refused last first
	floor        float64
	work         []float64 // hinted work per second in seconds, by class
	workAt       time.Duration
	fleet        atomic.Pointer[siteloss.Fleet]
	plannedAt    time.Duration
}

// judgeInterval is the shortest time between two judgements.
const judgeInterval = 100 * time.Millisecond

// planInterval is the time between two updates of the data for plans. loadDecay is the time constant of the average load.
const (
	planInterval = time.Second
	loadDecay    = 10 * time.Second
)

// NewSitesGate returns a gate for a dispatcher with these settings. names are the names of the sites, by number. order lists the
// classes in the order in which they are kept. floor is the share of each class that is kept first.
func NewSitesGate(l siteloss.Limits, cfg policy.Config, names []string, order []int, floor float64) *SitesGate {
	g := &SitesGate{limits: l, cfg: cfg, names: names, order: order, floor: floor,
		settings: siteloss.Settings{Sites: max(cfg.Zones, 1), Own: cfg.Zone, WarmUp: cfg.WarmUp}}
	return g.Recreate().(*SitesGate)
}

// Recreate returns a gate without observations.
func (g *SitesGate) Recreate() Gate {
	return &SitesGate{limits: g.limits, cfg: g.cfg, names: g.names, order: g.order, floor: g.floor, settings: g.settings, judge: siteloss.New(g.settings),
		siteByWorker: map[uint32]int{}, workerByAddr: map[string]uint32{}, workerBySend: map[Key]uint32{}, scale: map[uint32]float64{},
		states: make([]atomic.Uint32, g.settings.Sites), work: make([]float64, len(g.cfg.Classes))}
}

// Fleet returns the data for a plan: the listed hosts, and the load. The load of this dispatcher is taken for that of every other one,
// since the front end spreads the clients of a site evenly. It is inaccurate where sites have different traffic. Fleet returns nil
// before the first list of hosts. It is safe for concurrent use.
func (g *SitesGate) Fleet() *siteloss.Fleet { return g.fleet.Load() }

// addWork adds the hinted work of a job to the load.
func (g *SitesGate) addWork(now time.Duration, m *JobArrived) {
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

// updateFleet updates the data for plans.
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

// State returns the state of a site at the last Step. It is safe for concurrent use.
func (g *SitesGate) State(site int) siteloss.State { return siteloss.State(g.states[site].Load()) }

// In records what the messages show about hosts.
func (g *SitesGate) In(now time.Duration, in []Message, p *Pass) {
	for _, m := range in {
		switch m := m.(type) {
		case JobArrived:
			g.addWork(now, &m)
		case HostList:
			g.updateHosts(&m)
		case ProbeEnded:
			switch m.Result {
			case policy.OK:
				g.judge.Heard(now, m.Worker, true)
			case policy.TimedOut, policy.ConnectFailed: // a connection that cannot be made or is refused counts as no answer
				g.judge.Heard(now, m.Worker, false)
			}
		case JobStarted:
			g.recordAnswer(now, m.Key, true)
		case JobProgress:
			g.recordAnswer(now, m.Key, true)
		case AttemptEnded:
			switch m.Result {
			case policy.OK, policy.AppError, policy.Full, policy.Rejected:
				g.recordAnswer(now, m.Key, true)
			case policy.ConnectFailed:
				g.recordAnswer(now, m.Key, false)
			}
			delete(g.workerBySend, m.Key)
		}
		p.Forward(m)
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
		p.Emit(Log{Text: fmt.Sprintf("site %s: %v, was %v: %s", g.siteName(c.Site), c.To, c.From, c.Ground), Warn: c.To != siteloss.Serving})
	}
}

func (g *SitesGate) recordAnswer(now time.Duration, k Key, answered bool) {
	if id, ok := g.workerBySend[k]; ok {
		g.judge.Heard(now, id, answered)
	}
}

func (g *SitesGate) updateHosts(m *HostList) {
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

// Out records the host of each attempt.
func (g *SitesGate) Out(_ time.Duration, out []Command, p *Pass) {
	for _, c := range out {
		if s, ok := c.(Send); ok {
			if id, ok := g.workerByAddr[s.Addr]; ok {
				g.workerBySend[s.Key] = id
			}
		}
		p.Emit(c)
	}
}

// Wake returns no time: judgements are only needed when messages arrive.
func (g *SitesGate) Wake() (time.Duration, bool) { return 0, false }

// Detached returns 0: this gate holds no jobs.
func (g *SitesGate) Detached() int { return 0 }

// ModuleLost forgets the attempts that were in flight.
func (g *SitesGate) ModuleLost(time.Duration) { clear(g.workerBySend) }

// Owns returns false: all admitted jobs are in the module.
func (g *SitesGate) Owns(uint64) bool { return false }
