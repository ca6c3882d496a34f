// Package lab runs real dispatchers (core, gates and decision module) against the model of internal/fleet in one
// deterministic event loop of virtual time. The same scenario and seed give the same digest of all events.
package lab

import (
	"math"
	"time"

	"github.com/hashicorp/hcl/v2"

	"gaugeslip/internal/overload"
	"gaugeslip/internal/scenario"
	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

// Scenario is the configuration of a run. Durations are texts such as "90s".
type Scenario struct {
	Name        string           `hcl:"name,label"`
	About       string           `hcl:"about,optional"`
	Length      string           `hcl:"length"`
	Load        float64          `hcl:"load"` // offered work, as a share of the hosts' capacity
	Dispatchers int              `hcl:"dispatchers"`
	Rooms       int              `hcl:"rooms,optional"`
	Delay       string           `hcl:"delay,optional"` // one-way network delay between rooms; a tenth of it within a room
	Skew        float64          `hcl:"skew,optional"`  // excess traffic of the first room, relative to an equal share
	Sites       bool             `hcl:"sites,optional"` // every dispatcher judges the state of sites
	Hosts       []scenario.Hosts `hcl:"hosts,block"`
	Classes     []scenario.Class `hcl:"class,block"`
	Clients     *Clients         `hcl:"clients,block"`
	World       *World           `hcl:"world,block"`
	Overload    *Overload        `hcl:"overload,block"`
	Waiting     *Waiting         `hcl:"waiting,block"`
	Troubles    []Trouble        `hcl:"trouble,block"`
	Expect      *Expect          `hcl:"expect,block"`
	Range       hcl.Range        `hcl:",def_range"`

	length, delay time.Duration
}

// Clients configures the behavior of clients.
type Clients struct {
	Retries   int       `hcl:"retries,optional"`
	After     string    `hcl:"after,optional"` // when to retry: "none", "now", or "wait" for the advised time, at least 1 s
	HintSigma float64   `hcl:"hint_sigma,optional"`
	Keyless   bool      `hcl:"keyless,optional"` // requests have no key
	Burst     float64   `hcl:"burst,optional"`   // in every tenth second the rate is this many times the usual
	Range     hcl.Range `hcl:",def_range"`
}

// World configures the hosts and the host list.
type World struct {
	Queue       int       `hcl:"queue,optional"`
	ColdFrom    float64   `hcl:"cold_from,optional"`
	WarmUp      string    `hcl:"warm_up,optional"`
	Tip         float64   `hcl:"tip,optional"`
	OverloadFor string    `hcl:"overload_for,optional"`
	ReportEvery string    `hcl:"report_every,optional"`
	Progress    string    `hcl:"progress,optional"`
	ListLate    string    `hcl:"list_late,optional"`
	MaxConns    int       `hcl:"max_conns,optional"`
	StartCold   bool      `hcl:"start_cold,optional"`
	Range       hcl.Range `hcl:",def_range"`

	warmUp, overloadFor, reportEvery, progress, listLate time.Duration
}

// Waiting enables the queue of waiting jobs at every dispatcher and configures the jobs that use it.
type Waiting struct {
	Part  float64   `hcl:"part"`           // number of waiting jobs, as a share of the others
	Delay string    `hcl:"delay"`          // maximum time from the request until the job may run
	Due   string    `hcl:"due"`            // due time, from when the job may run
	Share float64   `hcl:"share,optional"` // share of the fleet for waiting jobs while others are refused
	Range hcl.Range `hcl:",def_range"`

	delay time.Duration
	lim   waiting.Limits
}

// Overload enables the overload settings at every dispatcher.
type Overload struct {
	Questions float64   `hcl:"questions"`
	KeepLanes bool      `hcl:"keep_lanes,optional"`
	Margin    float64   `hcl:"margin,optional"`
	Repeats   float64   `hcl:"repeats,optional"`
	Shed      bool      `hcl:"shed,optional"`
	Floor     float64   `hcl:"floor,optional"`
	Order     []string  `hcl:"order,optional"`
	Range     hcl.Range `hcl:",def_range"`

	lim overload.Limits
}

// Trouble is an injected fault. Troubles may overlap.
type Trouble struct {
	Kind  string    `hcl:"kind,label"`
	At    string    `hcl:"at"`
	For   string    `hcl:"for,optional"`
	Part  float64   `hcl:"part,optional"`  // share of the hosts, of a class's jobs, or (restart; default all) of the dispatchers
	Room  int       `hcl:"room,optional"`  // all hosts of this room, counted from 1, instead of Part
	Share float64   `hcl:"share,optional"` // affected share of jobs or sends
	Times float64   `hcl:"times,optional"` // multiple of the usual work or load
	Class string    `hcl:"class,optional"`
	Loses []string  `hcl:"loses,optional"` // for a site: "hosts", "dispatchers", "links" to other rooms, "discovery"; default the first two
	Range hcl.Range `hcl:",def_range"`

	at, length time.Duration
}

// loses reports whether the loss of a site includes what.
func (t *Trouble) loses(what string) bool { return scenario.Loses(t.Loses, what) }

// affectedCount returns how many of n are affected, at least one.
func (t *Trouble) affectedCount(n int) int { return max(1, int(math.Round(t.Part*float64(n)))) }

// Expect is the expected result of a scenario. Values that are not set are not checked, except Toppled.
type Expect struct {
	Service float64   `hcl:"service,optional"` // minimum
	Class   float64   `hcl:"class,optional"`   // minimum service of every class
	Refused float64   `hcl:"refused,optional"` // maximum ratio of refused tries to jobs; 0: any
	Toppled int       `hcl:"toppled,optional"` // maximum number of collapsed hosts
	Recover string    `hcl:"recover,optional"` // maximum time from the last surge's end until service is back at 0.95
	Range   hcl.Range `hcl:",def_range"`

	recover time.Duration
}

type scenarios struct {
	All []*Scenario `hcl:"scenario,block"`
}

// Load reads the scenarios from files.
func Load(files ...string) ([]*Scenario, error) { return scenario.Load(Parse, files...) }

// Parse parses the text of a file. Errors name file, line, column and key.
func Parse(text []byte, name string) ([]*Scenario, error) {
	var all scenarios
	if err := scenario.Decode(text, name, &all); err != nil {
		return nil, err
	}
	for _, s := range all.All {
		if err := s.check(); err != nil {
			return nil, err
		}
	}
	return all.All, nil
}

func (s *Scenario) class(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// rate returns the number of offered jobs per second.
func (s *Scenario) rate() float64 {
	return s.Load * scenario.Capacity(s.Hosts) / scenario.MeanWork(s.Classes)
}

// config returns the configuration of dispatcher n.
func (s *Scenario) config(n int) policy.Config {
	w := s.World
	c := policy.Config{Ordinal: n, Replicas: s.Dispatchers, Zone: n % s.Rooms, Zones: s.Rooms, Kinds: len(s.Hosts), Ask: true,
		TellsStart: true, Progress: w.progress, Probes: true, Cancel: true, SecondCopies: true, MaxAttempts: 6,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: 250 * time.Millisecond, WorthByWork: true, PriceCross: 0.018,
		PriceWaste: 0.02, PriceProbe: 0.002, ReportInProbes: true, DrainGrace: 3 * time.Second, AskWithin: 10 * time.Second,
		AnswerGrace: 8 * time.Millisecond, ColdFrom: w.ColdFrom, WarmUp: w.warmUp, TipMultiple: w.Tip,
		OverloadFor: w.overloadFor}
	if o := s.Overload; o != nil {
		o.lim.Apply(&c)
	}
	for _, k := range s.Classes {
		effect := policy.Repeatable
		if k.Once {
			effect = policy.Unsafe
		}
		c.Classes = append(c.Classes, policy.Class{Name: k.Name, OnTime: k.Aim, Stretch: k.Stretch, Deadline: k.Wait,
			Effect: effect, Worth: k.Worth, Kind: -1})
	}
	return c
}

// shareOf returns a room's share of the traffic.
func (s *Scenario) shareOf(room int) float64 {
	share := 1 / float64(s.Rooms)
	if s.Rooms > 1 && s.Skew != 0 {
		if room == 0 {
			share *= 1 + s.Skew
		} else {
			share *= 1 - s.Skew/float64(s.Rooms-1)
		}
	}
	return share
}
