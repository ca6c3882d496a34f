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

// newShedGate creates the gate that refuses jobs in overload, with its metrics; nil if shedding is off.
func newShedGate(l *overload.Limits, cfg *policy.Config, metrics *operators.Metrics) (*dispatch.ShedGate, error) {
	if l == nil || !l.Shed {
		return nil, nil
	}
	g, err := dispatch.NewShedGate(*l, *cfg)
	if err != nil {
		return nil, fmt.Errorf("site: overload.%w", err)
	}
	for i, c := range cfg.Classes {
		metrics.LabelledFunc("shed_total", "Jobs of a class refused at the door for overload, since the start; refused_total has them too.",
			"class", c.Name, func() float64 { return g.RefusedJobs(i) })
	}
	metrics.Gauge("admitted_share", "Share of the work asked for that the door lets in.", g.AdmittedShare)
	return g, nil
}

// newSitesGate creates the gate that judges sites, with its metrics; nil if it is off.
func newSitesGate(own *operatorsettings.Settings, cfg *config.Config, decisions *policy.Config, metrics *operators.Metrics) (*dispatch.SitesGate, error) {
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
	names := ZoneNames(cfg)
	g := dispatch.NewSitesGate(*own.Sites, *decisions, names, order, shed.Floor)
	for i, name := range names {
		metrics.LabelledFunc("site_state", "0: serving, 1: suspect, 2: lost, 3: cut off from here, 4: returning.", "site", name,
			func() float64 { return float64(g.State(i)) })
	}
	return g, nil
}
