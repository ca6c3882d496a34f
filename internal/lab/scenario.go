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

// Scenario is one day to be played. Times in it are texts such as "90s".
type Scenario struct {
	Name        string           `hcl:"name,label"`
	About       string           `hcl:"about,optional"`
	Length      string           `hcl:"length"`
	Load        float64          `hcl:"load"` // offered work, as a share of what the hosts can do
	Dispatchers int              `hcl:"dispatchers"`
	Rooms       int              `hcl:"rooms,optional"`
	Delay       string           `hcl:"delay,optional"` // one way between rooms; a tenth of it within one
	Skew        float64          `hcl:"skew,optional"`  // how much more traffic the first room has than its share
	Sites       bool             `hcl:"sites,optional"` // every dispatcher judges sites
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

// Clients is how clients behave.
type Clients struct {
	Retries   int       `hcl:"retries,optional"`
	After     string    `hcl:"after,optional"` // "none", "now" or "wait": for the advice, else a second
	HintSigma float64   `hcl:"hint_sigma,optional"`
	Keyless   bool      `hcl:"keyless,optional"` // their requests do not say what they concern
	Burst     float64   `hcl:"burst,optional"`   // in every tenth second the rate is this many times the usual
	Range     hcl.Range `hcl:",def_range"`
}

// World is what hosts and lists are like.
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

// Waiting switches the waiting room on at every dispatcher, and says which jobs use it.
type Waiting struct {
	Part  float64   `hcl:"part"`           // jobs that wait, as a share of those that don't
	Delay string    `hcl:"delay"`          // each has a set time, at most so far ahead
	Due   string    `hcl:"due"`            // once it may run
	Share float64   `hcl:"share,optional"` // of the fleet, while fresh jobs are refused
	Range hcl.Range `hcl:",def_range"`

	delay time.Duration
	lim   waiting.Limits
}

// Overload switches on at every dispatcher what its settings file sets for times of overload.
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

// Trouble is something that goes wrong. Troubles may overlap.
type Trouble struct {
	Kind  string    `hcl:"kind,label"`
	At    string    `hcl:"at"`
	For   string    `hcl:"for,optional"`
	Part  float64   `hcl:"part,optional"`  // of the hosts, of a class's jobs, or (restart; without: all) of the dispatchers
	Room  int       `hcl:"room,optional"`  // all hosts of this room, counted from 1, in place of a part of all
	Share float64   `hcl:"share,optional"` // of the jobs or sends that it meets
	Times float64   `hcl:"times,optional"` // how many times the usual work
	Class string    `hcl:"class,optional"`
	Loses []string  `hcl:"loses,optional"` // of a site: "hosts", "dispatchers", "links" to other rooms, "discovery"; all but the last two without
	Range hcl.Range `hcl:",def_range"`

	at, length time.Duration
}

// loses tells whether a site loses something.
func (t *Trouble) loses(what string) bool { return scenario.Loses(t.Loses, what) }

// affectedCount is how many of n it strikes: one at least.
func (t *Trouble) affectedCount(n int) int { return max(1, int(math.Round(t.Part*float64(n)))) }

// Expect is what has to come of a scenario; what is not said is not looked at.
type Expect struct {
	Service float64   `hcl:"service,optional"` // at least
	Class   float64   `hcl:"class,optional"`   // of the worst class, at least
	Refused float64   `hcl:"refused,optional"` // share of the jobs, at most; 0: any
	Toppled int       `hcl:"toppled,optional"` // hosts, at most
	Recover string    `hcl:"recover,optional"` // within so long of the last surge's end service is back at 0.95
	Range   hcl.Range `hcl:",def_range"`

	recover time.Duration
}

type scenarios struct {
	All []*Scenario `hcl:"scenario,block"`
}

// Load reads the scenarios of files.
func Load(files ...string) ([]*Scenario, error) { return scenario.Load(Parse, files...) }

// Parse reads the text of a file. Errors name file, line, column and key.
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

// rate is the jobs a second that are offered.
func (s *Scenario) rate() float64 {
	return s.Load * scenario.Capacity(s.Hosts) / scenario.MeanWork(s.Classes)
}

// config is what dispatcher number n is told.
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

// shareOf is a room's part of the traffic.
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
