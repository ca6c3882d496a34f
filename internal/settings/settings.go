// Package settings reads the settings object, as it comes in the simulator's first message and in a real
// dispatcher's configuration, into the decision module's Config. It is the one decoder for both adapters.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gaugeslip/policy"
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
		Progress     float64   `json:"progress"`
		ReportX0     string    `json:"report-x0"`
		TellsStart   bool      `json:"tells-start"`
	} `json:"family-info"`
	Kinds  []string `json:"kinds"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		ConnIdle       float64 `json:"conn-idle"`
		ConnectTimeout float64 `json:"connect-timeout"`
		MaxAttempts    int     `json:"max-attempts"`
		MaxRetryAfter  float64 `json:"max-retry-after"`
		MostHeld       int     `json:"most-held"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retry-after"`
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

// Settings is the module's Config with what an adapter needs beside it: the names that the module knows
// only as numbers, and the limits that bind the sockets rather than the decisions.
type Settings struct {
	Policy                         policy.Config
	Classes, Tenants, Zones, Kinds map[string]int
	Fields                         []string // of a load report without names, in order
	ConnIdle                       time.Duration
	MostHeld                       int  // requests held open at once; 0: no limit is set
	RetryAfter                     bool // clients are handed the advice of a refusal
	freeSlots                      bool // x0 of a load report means free slots
}

// Millis turns milliseconds with fractions into a duration of whole microseconds.
func Millis(v float64) time.Duration { return time.Duration(v*1000+0.5) * time.Microsecond }

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

// Parse reads the settings. An error begins with the faulty key.
func Parse(text []byte) (*Settings, error) {
	var e env
	if err := json.Unmarshal(text, &e); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return nil, fmt.Errorf("%s: not for a %s", t.Field, t.Value)
		}
		return nil, err
	}
	s := &Settings{Zones: index(e.Localities), Kinds: index(e.Kinds), Fields: e.Report.Fields,
		Classes: map[string]int{}, Tenants: map[string]int{}, MostHeld: e.Limits.MostHeld,
		RetryAfter: e.Limits.RetryAfter, ConnIdle: Millis(e.Limits.ConnIdle),
		freeSlots: e.FamilyInfo.ReportX0 == "free slots" || e.FamilyInfo.ReportX0 == ""}
	zone, ok := s.Zones[e.Locality]
	if !ok && e.Locality != "" && len(e.Localities) > 0 {
		return nil, fmt.Errorf("locality: unknown zone %q", e.Locality)
	}
	if e.Limits.MostHeld < 0 || e.Limits.ConnIdle < 0 {
		return nil, errors.New("limits.most-held or limits.conn-idle: negative")
	}
	r, l := &e.Rules, &e.Limits
	s.Policy = policy.Config{Ordinal: e.Ordinal, Replicas: e.Replicas, Zone: zone, Zones: len(e.Localities),
		Kinds: len(e.Kinds), Ask: e.RegistryMode == "ask", TellsStart: e.FamilyInfo.TellsStart,
		Progress: Millis(e.FamilyInfo.Progress),
		Probes:   l.Probes, Cancel: l.Cancel, SecondCopies: l.SecondCopies, MaxAttempts: l.MaxAttempts,
		MaxRetryAfter: Millis(l.MaxRetryAfter), ConnectTimeout: Millis(l.ConnectTimeout),
		WorthByWork: e.ValueBy == "work", OverShareWorth: e.OverShare,
		PriceCross: e.Prices.Cross, PriceWaste: e.Prices.Waste, PriceProbe: e.Prices.Probe,
		ReportInAnswers: e.Report.How == "piggyback",
		ReportInProbes:  e.Report.How == "piggyback" || e.Report.How == "pull",
		DrainGrace:      Millis(r.DrainGrace), AskWithin: Millis(r.AskWithin), AnswerGrace: Millis(r.AnswerGrace),
		ColdFrom: r.ColdFrom, WarmUp: Millis(r.WarmUp), TipMultiple: r.Tip, OverloadFor: Millis(r.OverloadFor)}
	for i, p := range e.Profiles {
		k := policy.Class{Name: p.Name, OnTime: Millis(p.OnTime), Deadline: Millis(p.Deadline),
			KeyTTL: Millis(p.KeyTTL), Worth: p.Worth, Kind: -1}
		if k.Effect, ok = effects[p.Effect]; !ok {
			return nil, fmt.Errorf("profiles.effect: unknown effect %q", p.Effect)
		}
		if k.Group, ok = groups[p.Group]; !ok {
			return nil, fmt.Errorf("profiles.group: unknown group %q", p.Group)
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
		s.Classes[p.Name] = i
		s.Policy.Classes = append(s.Policy.Classes, k)
	}
	for i, a := range e.Accounts {
		s.Tenants[a.Name] = i
		s.Policy.Tenants = append(s.Policy.Tenants, policy.Tenant{Name: a.Name, Quota: a.Quota})
	}
	return s, nil
}

// NoLoad is a load report in which nothing is reported.
func NoLoad() policy.Load {
	return policy.Load{FreeSlots: -1, Queue: -1, InFlight: -1, Busy: -1, Latency: -1}
}

// SetLoad puts one value of a load report in its place. The sockets name some values otherwise than the
// simulator's wire does; both names count. A name that is not known is skipped.
func (s *Settings) SetLoad(l *policy.Load, name string, v float64) {
	switch name {
	case "x0":
		if s.freeSlots {
			l.FreeSlots = v
		}
	case "q", "queue":
		l.Queue = v
	case "rif", "inflight":
		l.InFlight = v
	case "busy", "util":
		l.Busy = v
	case "lat_ms", "latency_ms":
		l.Latency = Millis(v)
	}
}

// IndexOf numbers a name that a list may hold though the settings do not: -1.
func IndexOf(m map[string]int, name string) int {
	if v, ok := m[name]; ok {
		return v
	}
	return -1
}
