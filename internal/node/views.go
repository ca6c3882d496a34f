package node

import (
	"gaugeslip/internal/config"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/siteloss"
)

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
	Fleet  *siteloss.Fleet   `json:"fleet"`
	States map[string]string `json:"states,omitempty"`
	Losses []siteloss.Loss   `json:"losses"`
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

// hostSource is where the list comes from: at a start, when many dispatchers may start together, its calls are paced; a reload
// moves to one that has to be asked at once. Where lists are pushed nobody waits.
func hostSource(cfg *config.Config, shares *budgets, start bool) cluster.Source {
	p := &cfg.Settings.Policy
	var s cluster.Source = &cluster.Discovery{Addr: cfg.Discovery, StallTimeout: cluster.StallTimeout, Settings: cfg.Settings}
	switch {
	case !p.Ask:
		return &cluster.Pushed{Source: shares.bound(s), Grace: p.DrainGrace}
	case start:
		s = &cluster.Paced{Source: s, Pace: cluster.NewPace(p.Replicas, cfg.Seed, p.AskWithin, p.DrainGrace)}
	}
	return shares.bound(s)
}
