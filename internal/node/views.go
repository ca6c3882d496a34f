package node

import (
	"gaugeslip/internal/config"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/siteloss"
)

// ZoneNames returns the names of the settings' zones, by number.
func ZoneNames(cfg *config.Config) []string {
	names := make([]string, len(cfg.Settings.Zones))
	for name, i := range cfg.Settings.Zones {
		names[i] = name
	}
	return names
}

// SitePlan is the plan for the loss of sites that the operators' endpoint shows.
type SitePlan struct {
	Fleet  *siteloss.Fleet   `json:"fleet"`
	States map[string]string `json:"states,omitempty"`
	Losses []siteloss.Loss   `json:"losses"`
}

// views returns the views that the operators' endpoint shows beside its own calls.
func views(shares *budgets, sitesGate *dispatch.SitesGate) map[string]func() any {
	v := map[string]func() any{}
	shares.views(v)
	if sitesGate != nil {
		v["plan"] = func() any {
			p := SitePlan{Fleet: sitesGate.Fleet(), States: map[string]string{}}
			if p.Fleet != nil && p.Fleet.Check() == nil {
				p.Losses = p.Fleet.Plan()
				for i, s := range p.Fleet.Sites {
					p.States[s.Name] = sitesGate.State(i).String()
				}
			}
			return p
		}
	}
	return v
}

// hostSource returns the source of the host list. At a start its calls are paced, since many dispatchers may start at
// the same time; after a reload the new source is asked at once. Pushed lists are not paced.
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
