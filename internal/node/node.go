// Package node wires the parts of one dispatcher together: the sockets on both sides, the loop with its core and gates, the
// cluster, and what a signal changes. It is what the program and the lab's demo both start.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"reflect"
	"time"

	"gaugeslip/internal/config"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/net/downstream"
	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/ops"
	"gaugeslip/internal/overload"
	"gaugeslip/internal/site"
	"gaugeslip/internal/sites"
	"gaugeslip/policy"
)

// The budget of descriptors: what is not downstream's or upstream's is for discovery, standard streams, the
// listener, the poller and a margin.
const (
	reserveShare    = 10 // one part in ten
	downstreamParts = 5  // of nine: a request holds a connection on each side, downstream some more
	upstreamParts   = 4
	probeTimeout    = 500 * time.Millisecond
	settle          = 5 * time.Millisecond  // some round trips between server rooms
	rest            = 25 * time.Millisecond // a second answer to a job comes some milliseconds late
)

// Budget shares the descriptors out.
func Budget(sockets int) (down, up int) {
	part := (sockets - sockets/reserveShare) / (downstreamParts + upstreamParts)
	return part * downstreamParts, part * upstreamParts
}

// OpsConns is how many connections the operators' door holds at once, out of the clients' share of descriptors.
func OpsConns(sockets int) int { return min(max(sockets/32, 4), 32) }

// classes are the names of the settings' classes, by number.
func classes(cfg *config.Config) []string {
	names := make([]string, len(cfg.Settings.Policy.Classes))
	for i, c := range cfg.Settings.Policy.Classes {
		names[i] = c.Name
	}
	return names
}

// Files name what a dispatcher is told; empty: what NODE_CONFIG and NODE_SITE name.
type Files struct{ Config, Site string }

// Load reads and checks both files, also what only the two together can get wrong.
func (f *Files) Load() (*config.Config, *site.Site, error) {
	c, err := config.Load(os.Getenv, f.Config)
	if err != nil {
		return nil, nil, err
	}
	s, err := site.Load(os.Getenv, f.Site)
	if err != nil {
		return nil, nil, err
	}
	if _, taken := c.Settings.Classes["jobs"]; taken && s.Waiting != nil {
		return nil, nil, fmt.Errorf("site: waiting: a class is named \"jobs\", and waiting jobs are found below /jobs")
	}
	if s.Overload != nil { // its order names classes that the configuration has
		if _, err := overload.NewShedder(*s.Overload, &c.Settings.Policy); err != nil {
			return nil, nil, fmt.Errorf("site: overload.%w", err)
		}
	}
	if n := c.Settings.Policy.Replicas; s.Peers != nil && n != len(s.Peers.Members) { // shares by two counts could come to more than the whole
		return nil, nil, fmt.Errorf("site: peers.members: %d, where the settings count %d dispatchers", len(s.Peers.Members), n)
	}
	return c, s, nil
}

// Run wires the parts together and runs them until ctx ends and all that was taken is answered. Each signal on hup makes it read its configuration again.
func Run(ctx context.Context, cfg *config.Config, own *site.Site, f *Files, hup <-chan os.Signal) error {
	started := time.Now()
	decisions := cfg.Settings.Policy // a copy: what a reload is compared with stays as it was read
	if own.Overload != nil {
		own.Overload.Apply(&decisions)
	}
	known, err := cluster.Known(cfg.Known, cfg.Settings)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	core, err := dispatch.New(decisions, cfg.Seed)
	if err != nil {
		return err
	}
	down, up := Budget(cfg.Limits.Sockets)
	door := 0
	if cfg.Ops != "" {
		door = OpsConns(cfg.Limits.Sockets)
		down -= door
	}
	var l *loop.Loop
	figures := ops.NewFigures(classes(cfg), ops.Gauges{
		InFlight: func() float64 { return float64(l.Held()) },
		Workers: func() (float64, float64) {
			known, excluded := l.Workers()
			return float64(known), float64(excluded)
		}})
	var tally downstream.Tally = figures
	if own.Overload != nil {
		level := newLevel(*own.Overload, figures, started)
		figures.Gauge("overloaded", "1 while refusals are more than the settings' share of the answers.", level.on)
		figures.Gauge("refused_share", "Share of refusals among the answers of the last seconds.", level.share)
		tally = level
	}
	shed, err := shedding(own.Overload, &decisions, figures)
	if err != nil {
		return err
	}
	pool := upstream.NewPool(upstream.Config{ConnectTimeout: cfg.Settings.Policy.ConnectTimeout,
		ConnIdle: cfg.Settings.ConnIdle, ProbeTimeout: probeTimeout, Settle: settle, Rest: rest, MaxConns: up,
		Written: figures.Attempt})
	gates := dispatch.Gates{Shed: shed}
	if own.Waiting != nil {
		gates.Waiting = dispatch.NewWaitingGate(*own.Waiting, cfg.Settings.Policy)
	}
	rooms, err := judging(own, cfg, &decisions, figures)
	if err != nil {
		return err
	}
	gates.Sites = rooms
	clock := loop.NewClock()
	shares := newBudgets(cfg, own, clock.Now, figures)
	if shares != nil {
		gates.Budget = shares.gate
	}
	l = loop.New(dispatch.NewChain(core, gates), cfg.Settings, pool, watched(cfg, shares, true), clock)
	l.Post(known)
	server := downstream.New(downstream.Config{Listen: cfg.Listen, Inherited: cfg.Inherited, MaxConns: down,
		MaxBodies: cfg.Limits.BodyBytes(), AcceptFor: downstream.AcceptFor,
		KilledAfter: downstream.KilledAfter(cfg.Settings), Waiting: gates.Waiting != nil, Tally: tally}, cfg.Settings, l)
	ln, err := server.Listen()
	if err != nil {
		return err
	}
	var opsDoor *ops.Door
	var opsLn net.Listener
	if cfg.Ops != "" {
		opsDoor = ops.NewDoor(ops.Config{Addr: cfg.Ops, MaxConns: door, Ready: server.Serving, Figures: figures,
			Core: l, Store: ops.NewStore(os.TempDir(), cfg.Name), Views: views(shares, rooms)})
		if opsLn, err = opsDoor.Listen(); err != nil {
			ln.Close()
			return err
		}
		opsDoor.Restore() // before the loop's first Step: what is out stays out from the first send on
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "ops", cfg.Ops, "hosts", len(known.Hosts))

	// The loop and the pool outlive the downstream side, which needs them for what it still owes.
	inner, halt := context.WithCancel(context.Background())
	outer, stop := context.WithCancel(ctx)
	defer stop()
	swept, looped := make(chan struct{}), make(chan error, 1)
	reloaded, opened := make(chan struct{}), make(chan struct{})
	go func() { defer close(swept); pool.Sweep(inner) }()
	if shares != nil {
		shares.hold(inner)
	}
	handed := make(chan struct{})
	if cfg.Inherited != 0 {
		path, me := servingFile(os.TempDir(), cfg.Name), serving{PID: os.Getpid(), Since: started.UnixNano()}
		if err := announce(path, me); err != nil {
			slog.Error("a successor will not know that this process serves", "error", err)
		}
		go func() {
			defer close(handed)
			awaitSuccessor(outer, path, me, func() {
				slog.Info("a successor serves: handing over")
				server.Handover()
				if shares != nil { // what comes now is the successor's
					shares.release()
				}
			})
		}()
	} else {
		close(handed)
	}
	go func() {
		defer close(opened)
		if opsDoor != nil {
			if err := opsDoor.Serve(inner, opsLn); err != nil {
				slog.Error("the operators' door is shut", "error", err)
			}
		}
	}()
	go func() { defer close(reloaded); reload(inner, cfg, own, f, hup, l, shares) }()
	go func() { looped <- l.Run(inner); stop() }()
	err = server.Serve(outer, ln)
	halt()
	<-handed
	<-swept
	<-reloaded
	<-opened
	if shares != nil {
		shares.release()
	}
	if lerr := <-looped; lerr != nil {
		return lerr
	}
	if gates.Waiting != nil { // the loop has ended: nobody else looks at it
		if n := gates.Waiting.Room().Held(); n > 0 {
			slog.Warn("waiting jobs are lost with the process, which keeps them in memory alone", "jobs", n)
		}
	}
	if err == nil {
		slog.Info("stopped")
	}
	return err
}

// shedding makes the gate that refuses jobs at the door in overload, with its figures; nil: none is set.
func shedding(l *overload.Limits, cfg *policy.Config, figures *ops.Figures) (*dispatch.ShedGate, error) {
	if l == nil || !l.Shed {
		return nil, nil
	}
	g, err := dispatch.NewShedGate(*l, *cfg)
	if err != nil {
		return nil, fmt.Errorf("site: overload.%w", err)
	}
	for i, c := range cfg.Classes {
		figures.Labelled("shed_total", "Jobs of a class refused at the door for overload, since the start; refused_total has them too.",
			"class", c.Name, func() float64 { return g.Shed(i) })
	}
	figures.Gauge("admitted_share", "Share of the work asked for that the door lets in.", g.Admit)
	return g, nil
}

// judging makes the gate that judges sites, with its figures; nil: none is set.
func judging(own *site.Site, cfg *config.Config, decisions *policy.Config, figures *ops.Figures) (*dispatch.SitesGate, error) {
	if own.Sites == nil {
		return nil, nil
	}
	shed := overload.Defaults()
	if own.Overload != nil {
		shed = *own.Overload
	}
	order, err := shed.Ranked(decisions)
	if err != nil {
		return nil, fmt.Errorf("site: overload.%w", err)
	}
	names := Rooms(cfg)
	g := dispatch.NewSitesGate(*own.Sites, *decisions, names, order, shed.Floor)
	for i, name := range names {
		figures.Labelled("site_state", "0: serving, 1: suspect, 2: lost, 3: cut off from here, 4: returning.", "site", name,
			func() float64 { return float64(g.State(i)) })
	}
	return g, nil
}

// Rooms are the names of the settings' zones, by number.
func Rooms(cfg *config.Config) []string {
	names := make([]string, len(cfg.Settings.Zones))
	for name, i := range cfg.Settings.Zones {
		names[i] = name
	}
	return names
}

// Planned is what the operators' door shows of a plan.
type Planned struct {
	Fleet  *sites.Fleet      `json:"fleet"`
	States map[string]string `json:"states,omitempty"`
	Losses []sites.Loss      `json:"losses"`
}

// views are what the operators' door shows beside its own calls.
func views(shares *budgets, rooms *dispatch.SitesGate) map[string]func() any {
	v := map[string]func() any{}
	shares.views(v)
	if rooms != nil {
		v["plan"] = func() any {
			p := Planned{Fleet: rooms.Fleet(), States: map[string]string{}}
			if p.Fleet != nil && p.Fleet.Check() == nil {
				p.Losses = p.Fleet.Plan()
				for i, s := range p.Fleet.Sites {
					p.States[s.Name] = rooms.State(i).String()
				}
			}
			return p
		}
	}
	return v
}

// watched is where the list comes from: at a start, when many dispatchers may start together, its calls are paced; a reload
// moves to one that has to be asked at once. Where lists are pushed nobody waits.
func watched(cfg *config.Config, shares *budgets, start bool) cluster.Source {
	p := &cfg.Settings.Policy
	var s cluster.Source = &cluster.Discovery{Addr: cfg.Discovery, Stall: cluster.StallAfter, Settings: cfg.Settings}
	switch {
	case !p.Ask:
		return &cluster.Pushed{Source: shares.bound(s), Grace: p.DrainGrace}
	case start:
		s = &cluster.Paced{Source: s, Pace: cluster.NewPace(p.Replicas, cfg.Seed, p.AskWithin, p.DrainGrace)}
	}
	return shares.bound(s)
}

// reload reads the configuration and our own settings again at each signal until ctx ends, and moves the watch to where
// discovery is now. A fault in either file changes nothing.
func reload(ctx context.Context, cfg *config.Config, own *site.Site, f *Files, hup <-chan os.Signal, l *loop.Loop, shares *budgets) {
	at := cfg.Discovery
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		newer, err := config.Reload(os.Getenv, f.Config)
		var settings *site.Site
		if err == nil {
			settings, err = site.Load(os.Getenv, f.Site)
		}
		if err != nil {
			slog.Error("configuration not reloaded, the old one holds", "error", err)
			continue
		}
		keys := cfg.Fixed(newer)
		if (settings.Waiting == nil) != (own.Waiting == nil) {
			keys = append(keys, "waiting")
		} else if settings.Waiting != nil {
			l.Post(dispatch.Tuned{Waiting: *settings.Waiting})
		}
		for _, x := range []struct {
			key      string
			now, own any
		}{{"overload", settings.Overload, own.Overload}, {"sites", settings.Sites, own.Sites}, {"budgets", settings.Budgets, own.Budgets}, {"peers", settings.Peers, own.Peers}} {
			if !reflect.DeepEqual(x.now, x.own) {
				keys = append(keys, x.key)
			}
		}
		if len(keys) > 0 {
			slog.Warn("changes that count from the next start on", "keys", keys)
		}
		slog.Info("configuration reloaded", "discovery", newer.Discovery)
		if newer.Discovery != at {
			at = newer.Discovery
			moved := *cfg // what is fixed stays
			moved.Discovery = at
			l.Move(watched(&moved, shares, false))
		}
	}
}
