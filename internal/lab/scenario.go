// Package lab runs real dispatchers (core, gates and decision module) against the model of internal/fleet in one
// deterministic event loop of virtual time. The same scenario and seed give the same digest of all events.
package lab

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"gaugeslip/internal/overload"
	"gaugeslip/internal/scenario"
	"gaugeslip/internal/sites"
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

// partOf is how many of n it strikes: one at least.
func (t *Trouble) partOf(n int) int { return max(1, int(math.Round(t.Part*float64(n)))) }

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

var kinds = map[string]bool{"vanish": true, "errors": true, "heavy": true, "kill": true, "silence": true, "reset": true,
	"stale_list": true, "discovery": true, "drain": true, "restart": true,
	"surge": true, "site": true}

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

func (s *Scenario) check() error {
	c := &scenario.Checker{}
	s.length = c.Time(s.Range, "length", s.Length, 0)
	s.delay = c.Time(s.Range, "delay", s.Delay, 500*time.Microsecond)
	s.Rooms = max(s.Rooms, 1)
	c.Want(s.length > 0 && s.length <= 24*time.Hour, s.Range, "length", "more than 0 and at most 24h")
	c.Want(s.Load > 0 && s.Load <= 100, s.Range, "load", "more than 0 and at most 100")
	c.Want(s.Dispatchers > 0 && s.Dispatchers <= 1000, s.Range, "dispatchers", "1 to 1000")
	c.Hosts(s.Hosts, s.Range, 100_000)
	c.Classes(s.Classes, s.Range)
	if s.Clients == nil {
		s.Clients = &Clients{}
	}
	cl := s.Clients
	c.Want(cl.After == "" || cl.After == "none" || cl.After == "now" || cl.After == "wait", cl.Range, "after",
		`%q is none of "none", "now", "wait"`, cl.After)
	c.Want(cl.Retries >= 0 && cl.Retries <= 10, cl.Range, "retries", "0 to 10")
	c.Want(cl.HintSigma >= 0 && cl.HintSigma <= 3, cl.Range, "hint_sigma", "0 to 3")
	if s.World == nil {
		s.World = &World{}
	}
	w := s.World
	w.warmUp = c.Time(w.Range, "warm_up", w.WarmUp, 24*time.Second)
	w.overloadFor = c.Time(w.Range, "overload_for", w.OverloadFor, 2*time.Second)
	w.reportEvery = c.Time(w.Range, "report_every", w.ReportEvery, 150*time.Millisecond)
	w.progress = c.Time(w.Range, "progress", w.Progress, time.Second)
	w.listLate = c.Time(w.Range, "list_late", w.ListLate, time.Second)
	if w.Queue == 0 {
		w.Queue = 16
	}
	if w.ColdFrom == 0 {
		w.ColdFrom = 0.12
	}
	if w.Tip == 0 {
		w.Tip = 3
	}
	c.Want(w.ColdFrom > 0 && w.ColdFrom <= 1, w.Range, "cold_from", "more than 0 and at most 1")
	c.Want(w.Queue > 0, w.Range, "queue", "more than 0")
	if x := s.Overload; x != nil {
		x.lim = overload.Defaults()
		x.lim.Questions, x.lim.KeepLanes, x.lim.Margin, x.lim.Repeats = x.Questions, x.KeepLanes, x.Margin, x.Repeats
		if x.lim.Shed, x.lim.Order = x.Shed, x.Order; x.Floor != 0 {
			x.lim.Floor = x.Floor
		}
		if err := x.lim.Check(); err != nil {
			c.Want(false, x.Range, "overload", "%v", err)
		}
	}
	if x := s.Waiting; x != nil {
		x.lim = waiting.Defaults()
		x.lim.MaxJobs, x.lim.MaxKept, x.lim.MaxBytes, x.lim.ClientShare = 10_000_000, 100_000, 1<<40, 1
		x.lim.DefaultDue = c.Time(x.Range, "due", x.Due, 0)
		if x.delay = c.Time(x.Range, "delay", x.Delay, 0); x.Share != 0 {
			x.lim.Share = x.Share
		}
		c.Want(x.Part > 0 && x.Part <= 10, x.Range, "part", "more than 0 and at most 10")
		if err := x.lim.Check(); err != nil {
			c.Want(false, x.Range, "waiting", "%v", err)
		}
	}
	for i := range s.Troubles {
		t := &s.Troubles[i]
		t.at = c.Time(t.Range, "at", t.At, 0)
		t.length = c.Time(t.Range, "for", t.For, 10*time.Second)
		c.Want(kinds[t.Kind], t.Range, "trouble", "%q is not known", t.Kind)
		c.Want(t.at < s.length, t.Range, "at", "the day is over by then")
		c.Want(t.Part >= 0 && t.Part <= 1, t.Range, "part", "0 to 1")
		c.Want(t.Room >= 0 && t.Room <= s.Rooms, t.Range, "room", "1 to the number of rooms")
		c.Want(t.Share >= 0 && t.Share <= 1, t.Range, "share", "0 to 1")
		if t.Kind == "heavy" {
			c.Want(s.class(t.Class) >= 0, t.Range, "class", "%q is not a class", t.Class)
			c.Want(t.Times > 0, t.Range, "times", "more than 0")
		}
		if t.Kind == "site" {
			c.Want(t.Room > 0, t.Range, "room", "which is lost?")
			c.Losses(t.Range, t.Loses)
		}
		if t.Kind == "surge" {
			c.Want(t.Times > 0 && t.Times <= 100, t.Range, "times", "more than 0 and at most 100")
		}
	}
	if e := s.Expect; e != nil {
		e.recover = c.Time(e.Range, "recover", e.Recover, 0)
	}
	return c.Err
}

// calm is when the last surge is over, since the start; 0: there is none.
func (s *Scenario) calm() (at time.Duration) {
	for _, t := range s.Troubles {
		if t.Kind == "surge" {
			at = max(at, t.at+t.length)
		}
	}
	return at
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

// Resize makes the fleet one of so many hosts, of its kinds in their proportions, and changes dispatchers, load and length.
func (s *Scenario) Resize(hosts, dispatchers int, load float64, length time.Duration) error {
	total, left := scenario.Count(s.Hosts), hosts
	for i := range s.Hosts {
		n := hosts * s.Hosts[i].Count / total
		if i == len(s.Hosts)-1 {
			n = left
		}
		s.Hosts[i].Count = n
		left -= n
	}
	s.Dispatchers, s.Load, s.Length = dispatchers, load, length.String()
	return s.check()
}

// AtLoad changes the load alone.
func (s *Scenario) AtLoad(load float64) error {
	s.Load = load
	return s.check()
}

// LossAt is when the scenario's one loss of a room begins and ends.
func (s *Scenario) LossAt() (from, to time.Duration, err error) {
	for _, t := range s.Troubles {
		if t.Room > 0 {
			return t.at, t.at + t.length, nil
		}
	}
	return 0, 0, errors.New("the scenario loses no room")
}

// SurgeInPlace has the load rise by so many times where a room would be lost, and the room stay.
func (s *Scenario) SurgeInPlace(times float64) error {
	s.Troubles = slices.Clone(s.Troubles)
	for i := range s.Troubles {
		if t := &s.Troubles[i]; t.Room > 0 {
			t.Kind, t.Room, t.Times = "surge", 0, times
		}
	}
	return s.check()
}

// LoseRoom has every trouble of a room strike another one, counted from 1.
func (s *Scenario) LoseRoom(room int) error {
	s.Troubles = slices.Clone(s.Troubles)
	for i := range s.Troubles {
		if s.Troubles[i].Room > 0 {
			s.Troubles[i].Room = room
		}
	}
	return s.check()
}

// Fleet is what a plan for the loss of a room is made from, with so much of the rooms' capacity to be counted on. Classes stand in
// the order of their worth.
func (s *Scenario) Fleet(usable float64) *sites.Fleet {
	f := &sites.Fleet{Usable: usable, ColdFrom: s.World.ColdFrom, WarmUp: s.World.warmUp}
	for room := range s.Rooms {
		f.Sites = append(f.Sites, sites.Site{Name: fmt.Sprintf("room-%d", room+1)})
	}
	i := 0
	for _, h := range s.Hosts {
		for range h.Count {
			x := &f.Sites[i%s.Rooms]
			x.Hosts++
			x.Capacity += float64(h.Lanes) * h.Speed
			i++
		}
	}
	work := s.rate() * scenario.MeanWork(s.Classes)
	for room := range f.Sites {
		f.Sites[room].Load = work * s.shareOf(room)
	}
	classes := slices.Clone(s.Classes)
	slices.SortStableFunc(classes, func(a, b scenario.Class) int { return cmp.Compare(b.Worth, a.Worth) })
	for _, c := range classes {
		one := c
		one.Part = 1
		f.Classes = append(f.Classes, sites.Class{Name: c.Name, Share: c.Part * scenario.MeanWork([]scenario.Class{one}) / scenario.MeanWork(s.Classes)})
	}
	return f
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
