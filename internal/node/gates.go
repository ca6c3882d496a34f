package node

import (
	"fmt"

	"gaugeslip/internal/config"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/operators"
	"gaugeslip/internal/operatorsettings"
	"gaugeslip/internal/overload"
	"gaugeslip/policy"
)

// newShedGate makes the gate that refuses jobs at the door in overload, with its figures; nil: none is set.
func newShedGate(l *overload.Limits, cfg *policy.Config, figures *operators.Metrics) (*dispatch.ShedGate, error) {
	if l == nil || !l.Shed {
		return nil, nil
	}
	g, err := dispatch.NewShedGate(*l, *cfg)
	if err != nil {
		return nil, fmt.Errorf("site: overload.%w", err)
	}
	for i, c := range cfg.Classes {
		figures.LabelledFunc("shed_total", "Jobs of a class refused at the door for overload, since the start; refused_total has them too.",
			"class", c.Name, func() float64 { return g.RefusedJobs(i) })
	}
	figures.Gauge("admitted_share", "Share of the work asked for that the door lets in.", g.AdmittedShare)
	return g, nil
}

// newSitesGate makes the gate that judges sites, with its figures; nil: none is set.
func newSitesGate(own *operatorsettings.Settings, cfg *config.Config, decisions *policy.Config, figures *operators.Metrics) (*dispatch.SitesGate, error) {
	if own.Sites == nil {
		return nil, nil
	}
	shed := overload.Defaults()
	if own.Overload != nil {
		shed = *own.Overload
	}
	order, err := shed.ClassOrder(decisions)
	if err != nil {
		return nil, fmt.Errorf("site: overload.%w", err)
	}
	names := Rooms(cfg)
	g := dispatch.NewSitesGate(*own.Sites, *decisions, names, order, shed.Floor)
	for i, name := range names {
		figures.LabelledFunc("site_state", "0: serving, 1: suspect, 2: lost, 3: cut off from here, 4: returning.", "site", name,
			func() float64 { return float64(g.State(i)) })
	}
	return g, nil
}
