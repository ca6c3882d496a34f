package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"archgw/policy"
)

// env is the part of the settings that is used; unknown keys are ignored.
type env struct {
	Accounts []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota-per-s"`
	} `json:"accounts"`
	FamilyInfo struct {
		ClassKind    []int     `json:"class-kind"`
		ClassStretch []float64 `json:"class-stretch"`
		ReportX0     string    `json:"report-x0"`
		TellsStart   bool      `json:"tells-start"`
	} `json:"family-info"`
	Kinds  []string `json:"kinds"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		ConnectTimeout float64 `json:"connect-timeout"`
		MaxAttempts    int     `json:"max-attempts"`
		MaxRetryAfter  float64 `json:"max-retry-after"`
		Probes         bool    `json:"probes"`
		SecondCopies   bool    `json:"second-copies"`
	} `json:"limits"`
	Localities []string `json:"localities"`
	Locality   string   `json:"locality"`
	Ordinal    int      `json:"ordinal"`
	OverShare  float64  `json:"over-share-worth"`
	Prices     struct {
		Cross float64 `json:"cross-zone"`
		Probe float64 `json:"probe"`
		Waste float64 `json:"waste"`
	} `json:"prices"`
	Profiles []struct {
		Stretch  *float64 `json:"aim-stretch"`
		Worth    float64  `json:"credit"`
		Deadline float64  `json:"deadline"`
		Effect   string   `json:"effect"`
		Group    string   `json:"group"`
		KeyTTL   float64  `json:"key-ttl"`
		Name     string   `json:"name"`
		OnTime   float64  `json:"on-time"`
	} `json:"profiles"`
	RegistryMode string `json:"registry-mode"`
	Replicas     int    `json:"replicas-of-me"`
	Report       struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Rules struct {
		AnswerGrace float64 `json:"grace-to-answer"`
		AskWithin   float64 `json:"ask-within"`
		ColdFrom    float64 `json:"cold-from"`
		WarmUp      float64 `json:"warm-up"`
		DrainGrace  float64 `json:"drain-grace"`
		Tip         float64 `json:"tip-multiple"`
		OverloadFor float64 `json:"overload-for"`
	} `json:"rules"`
	ValueBy string `json:"value-by"`
}

// names turns the names of one instance's settings into the numbers that the module uses.
type names struct {
	classes, tenants, zones, kinds map[string]int
	fields                         []string
}

// millis turns the wire's milliseconds into a duration of whole microseconds.
func millis(v float64) time.Duration { return time.Duration(v*1000+0.5) * time.Microsecond }

// index numbers a list of names.
func index(list []string) map[string]int {
	m := make(map[string]int, len(list))
	for i, s := range list {
		m[s] = i
	}
	return m
}

var effects = map[string]policy.Effect{
	"": policy.Repeatable, "retryable": policy.Repeatable, "dedup": policy.Keyed, "fragile": policy.Unsafe}
var groups = map[string]policy.Group{
	"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone, "cell": policy.GroupCell}

// settings reads the env of an INIT.
func settings(text string) (policy.Config, *names, error) {
	var e env
	var c policy.Config
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return c, nil, fmt.Errorf("INIT env: %s: not for a %s", t.Field, t.Value)
		}
		return c, nil, fmt.Errorf("INIT env: %v", err)
	}
	n := &names{zones: index(e.Localities), kinds: index(e.Kinds), fields: e.Report.Fields,
		classes: map[string]int{}, tenants: map[string]int{}}
	for i, f := range n.fields {
		if f == "x0" && e.FamilyInfo.ReportX0 != "free slots" && e.FamilyInfo.ReportX0 != "" {
			n.fields[i] = "" // it means something else here
		}
	}
	zone, ok := n.zones[e.Locality]
	if !ok && e.Locality != "" && len(e.Localities) > 0 {
		return c, nil, fmt.Errorf("INIT env: locality: unknown zone %q", e.Locality)
	}
	r, l := &e.Rules, &e.Limits
	c = policy.Config{Ordinal: e.Ordinal, Replicas: e.Replicas, Zone: zone, Zones: len(e.Localities),
		Kinds: len(e.Kinds), Ask: e.RegistryMode == "ask", TellsStart: e.FamilyInfo.TellsStart,
		Probes: l.Probes, Cancel: l.Cancel, SecondCopies: l.SecondCopies, MaxAttempts: l.MaxAttempts,
		MaxRetryAfter: millis(l.MaxRetryAfter), ConnectTimeout: millis(l.ConnectTimeout),
		WorthByWork: e.ValueBy == "work", OverShareWorth: e.OverShare,
		PriceCross: e.Prices.Cross, PriceWaste: e.Prices.Waste, PriceProbe: e.Prices.Probe,
		ReportInAnswers: e.Report.How == "piggyback",
		ReportInProbes:  e.Report.How == "piggyback" || e.Report.How == "pull",
		DrainGrace:      millis(r.DrainGrace), AskWithin: millis(r.AskWithin), AnswerGrace: millis(r.AnswerGrace),
		ColdFrom: r.ColdFrom, WarmUp: millis(r.WarmUp), TipMultiple: r.Tip, OverloadFor: millis(r.OverloadFor)}
	for i, p := range e.Profiles {
		k := policy.Class{Name: p.Name, OnTime: millis(p.OnTime), Deadline: millis(p.Deadline),
			KeyTTL: millis(p.KeyTTL), Worth: p.Worth, Kind: -1}
		if k.Effect, ok = effects[p.Effect]; !ok {
			return c, nil, fmt.Errorf("INIT env: profiles.effect: unknown effect %q", p.Effect)
		}
		if k.Group, ok = groups[p.Group]; !ok {
			return c, nil, fmt.Errorf("INIT env: profiles.group: unknown group %q", p.Group)
		}
		if i < len(e.FamilyInfo.ClassKind) {
			k.Kind = e.FamilyInfo.ClassKind[i]
		}
		if i < len(e.FamilyInfo.ClassStretch) {
			k.Stretch = e.FamilyInfo.ClassStretch[i]
		}
		if p.Stretch != nil {
			k.Stretch = *p.Stretch
		}
		n.classes[p.Name] = i
		c.Classes = append(c.Classes, k)
	}
	for i, a := range e.Accounts {
		n.tenants[a.Name] = i
		c.Tenants = append(c.Tenants, policy.Tenant{Name: a.Name, Quota: a.Quota})
	}
	return c, n, nil
}
