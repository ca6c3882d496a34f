package rig

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"gaugeslip/internal/scenario"
)

// Scenario describes one run on real processes: dispatchers, hosts, clients, and the troubles between them.
type Scenario struct {
	Name        string           `hcl:"name,label"`
	About       string           `hcl:"about,optional"`
	Length      string           `hcl:"length"`
	Load        float64          `hcl:"load"` // offered work as a share of the hosts' capacity
	Dispatchers int              `hcl:"dispatchers"`
	Rooms       int              `hcl:"rooms,optional"`
	Uneven      float64          `hcl:"uneven,optional"`   // the first dispatcher gets this many times the mean of the others
	Overload    bool             `hcl:"overload,optional"` // every dispatcher's settings file gets the block of that name
	Sites       bool             `hcl:"sites,optional"`    // likewise
	Budgets     *Budgets         `hcl:"budgets,block"`
	Tenants     []Tenant         `hcl:"tenant,block"`
	Hosts       []scenario.Hosts `hcl:"hosts,block"`
	Classes     []scenario.Class `hcl:"class,block"`
	Clients     *Clients         `hcl:"clients,block"`
	Trouble     []Trouble        `hcl:"trouble,block"`
	Bounds      []Bound          `hcl:"bound,block"`
	Expect      *Expect          `hcl:"expect,block"`
	Range       hcl.Range        `hcl:",def_range"`

	length time.Duration
}

// Clients describes the behaviour of clients.
type Clients struct {
	Retries int       `hcl:"retries,optional"`
	After   string    `hcl:"after,optional"`  // "none", "now" or "advice": after the time in Retry-After, else after a second
	Ignore  float64   `hcl:"ignore,optional"` // share that retries at once regardless of Retry-After
	Early   float64   `hcl:"early,optional"`  // share that gives up after a tenth of the class's wait
	Hint    float64   `hcl:"hint_sigma,optional"`
	Keyless bool      `hcl:"keyless,optional"` // requests carry no X-Object header
	Range   hcl.Range `hcl:",def_range"`
}

// Trouble is a fault for a limited time. Troubles may overlap.
type Trouble struct {
	Kind        string    `hcl:"kind,label"`
	At          string    `hcl:"at"`
	For         string    `hcl:"for,optional"`
	Dispatchers float64   `hcl:"dispatchers,optional"` // share that is affected, drawn by the seed; 0: all
	Hosts       float64   `hcl:"hosts,optional"`       // likewise
	Path        string    `hcl:"path,optional"`        // of a link: "client", "host", "discovery" or "peer"
	Way         string    `hcl:"way,optional"`         // "forth", "back" or "both"
	Share       float64   `hcl:"share,optional"`       // share of a core left, of jobs that fail, or of chunks lost
	Times       float64   `hcl:"times,optional"`       // of a storm: factor on the load; of islands: their number
	Delay       string    `hcl:"delay,optional"`
	Jitter      string    `hcl:"jitter,optional"`
	Rate        int       `hcl:"rate,optional"` // bytes a second
	Bytes       int       `hcl:"bytes,optional"`
	Room        int       `hcl:"room,optional"`  // of a site, counted from 1
	Loses       []string  `hcl:"loses,optional"` // of a site: "hosts", "dispatchers", "links" to other rooms, "discovery"
	Range       hcl.Range `hcl:",def_range"`

	at, length, delay, jitter time.Duration
	direction                 Direction
}

// Bound limits a sum over all dispatchers in any window: of "probes", "connections" or "sends" at every host, or of the admitted
// "jobs" of every tenant.
type Bound struct {
	What   string    `hcl:"what,label"`
	Window string    `hcl:"window"`
	Most   float64   `hcl:"most"`
	Range  hcl.Range `hcl:",def_range"`

	window time.Duration
}

// Expect holds the expected results of a run; those not given are not checked. The rules are always checked.
type Expect struct {
	Service float64   `hcl:"service,optional"` // worth served in time divided by worth sent, at least
	Tries   float64   `hcl:"tries,optional"`   // sends to hosts per job of a client, at most
	Probes  float64   `hcl:"probes,optional"`  // per host and second, at most
	Used    float64   `hcl:"used,optional"`    // share of the first tenant's quota used in the second half of the run, at least
	Range   hcl.Range `hcl:",def_range"`
}

// common holds defaults for the scenarios of a file: each block applies where a scenario has none of its kind.
type common struct {
	Hosts   []scenario.Hosts `hcl:"hosts,block"`
	Classes []scenario.Class `hcl:"class,block"`
	Clients *Clients         `hcl:"clients,block"`
	Budgets *Budgets         `hcl:"budgets,block"`
	Tenants []Tenant         `hcl:"tenant,block"`
	Bounds  []Bound          `hcl:"bound,block"`
}

type scenarios struct {
	Common *common     `hcl:"common,block"`
	All    []*Scenario `hcl:"processes,block"`
}

// applyTo gives a scenario copies of the blocks that it does not contain.
func (c *common) applyTo(s *Scenario) {
	if len(s.Hosts) == 0 {
		s.Hosts = slices.Clone(c.Hosts)
	}
	if len(s.Classes) == 0 {
		s.Classes = slices.Clone(c.Classes)
	}
	if s.Clients == nil {
		s.Clients = c.Clients
	}
	if s.Budgets == nil {
		s.Budgets = c.Budgets
	}
	if len(s.Tenants) == 0 {
		s.Tenants = slices.Clone(c.Tenants)
	}
	if len(s.Bounds) == 0 {
		s.Bounds = slices.Clone(c.Bounds)
	}
}

// linkKinds are the troubles of links, kinds all others except peerKinds.
var (
	linkKinds = map[string]bool{"silent": true, "refuse": true, "reset": true, "half_open": true, "delay": true, "trickle": true, "cut": true}
	kinds     = map[string]bool{"kill": true, "term": true, "pause": true, "slow": true, "reload": true, "vanish": true, "errors": true,
		"site": true, "crash": true, "drain": true, "full": true, "idle": true, "discovery": true, "storm": true}
	paths      = map[string]bool{"client": true, "host": true, "discovery": true, "peer": true}
	boundKinds = map[string]bool{"probes": true, "connections": true, "sends": true, "jobs": true}
)

// Load reads the scenarios of files.
func Load(files ...string) ([]*Scenario, error) { return scenario.Load(Parse, files...) }

// Parse reads the text of a file. Errors name file, line, column and key.
func Parse(text []byte, name string) ([]*Scenario, error) {
	var all scenarios
	if err := scenario.Decode(text, name, &all); err != nil {
		return nil, err
	}
	for _, s := range all.All {
		if all.Common != nil {
			all.Common.applyTo(s)
		}
		if err := s.check(); err != nil {
			return nil, err
		}
	}
	return all.All, nil
}

// Limits of a scenario that one machine can run.
const (
	maxDispatchers = 32
	maxHosts       = 64
	maxLength      = 10 * time.Minute
	maxPatience    = time.Minute
)

func (s *Scenario) check() error {
	c := &scenario.Checker{}
	s.length = c.Time(s.Range, "length", s.Length, 0)
	s.Rooms = max(s.Rooms, 1)
	c.Want(s.length > 0 && s.length <= maxLength, s.Range, "length", "more than 0 and at most %v", maxLength)
	c.Want(s.Load > 0 && s.Load <= 20, s.Range, "load", "more than 0 and at most 20")
	c.Want(s.Dispatchers > 0 && s.Dispatchers <= maxDispatchers, s.Range, "dispatchers", "1 to %d", maxDispatchers)
	c.Want(s.Rooms <= s.Dispatchers, s.Range, "rooms", "at most one for each dispatcher")
	c.Want(s.Uneven >= 0 && s.Uneven <= 100, s.Range, "uneven", "0 to 100")
	c.Hosts(s.Hosts, s.Range, maxHosts)
	c.Classes(s.Classes, s.Range)
	for _, k := range s.Classes {
		c.Want(k.Wait <= maxPatience, k.Range, "patience", "at most %v", maxPatience)
	}
	if s.Clients == nil {
		s.Clients = &Clients{}
	}
	cl := s.Clients
	c.Want(cl.After == "" || cl.After == "none" || cl.After == "now" || cl.After == "advice", cl.Range, "after",
		`%q is none of "none", "now", "advice"`, cl.After)
	c.Want(cl.Retries >= 0 && cl.Retries <= 10, cl.Range, "retries", "0 to 10")
	for key, x := range map[string]float64{"ignore": cl.Ignore, "early": cl.Early} {
		c.Want(x >= 0 && x <= 1, cl.Range, key, "0 to 1")
	}
	s.checkTenants(c)
	for i := range s.Trouble {
		s.Trouble[i].check(c, s)
	}
	for i := range s.Bounds {
		b := &s.Bounds[i]
		b.window = c.Time(b.Range, "window", b.Window, 0)
		c.Want(boundKinds[b.What], b.Range, "bound", `%q is none of "probes", "connections", "sends", "jobs"`, b.What)
		c.Want(b.window > 0, b.Range, "window", "more than 0s")
		c.Want(b.Most > 0, b.Range, "most", "more than 0")
	}
	return c.Err
}

func (t *Trouble) check(c *scenario.Checker, s *Scenario) {
	t.at, t.length = c.Time(t.Range, "at", t.At, 0), c.Time(t.Range, "for", t.For, 0)
	t.delay, t.jitter = c.Time(t.Range, "delay", t.Delay, 0), c.Time(t.Range, "jitter", t.Jitter, 0)
	c.Want(kinds[t.Kind] || linkKinds[t.Kind] || peerKinds[t.Kind], t.Range, "trouble", "%q is not known", t.Kind)
	c.Want(t.at < s.length, t.Range, "at", "the day is over by then")
	c.Want(!linkKinds[t.Kind] || paths[t.Path], t.Range, "path", `%q is none of "client", "host", "discovery", "peer"`, t.Path)
	c.Want(!peerKinds[t.Kind] && t.Path != "peer" || s.Budgets != nil && s.Budgets.Way == "talk", t.Range, "trouble", "there is no talk between dispatchers")
	c.Want(t.Path != "peer" || t.Kind == "silent" || t.Kind == "delay" || t.Kind == "refuse", t.Range, "path", "%q is none of talk", t.Kind)
	directions := map[string]Direction{"": Both, "both": Both, "forth": Forth, "back": Back}
	t.direction = directions[t.Way]
	c.Want(t.direction != 0, t.Range, "way", `%q is none of "forth", "back", "both"`, t.Way)
	for key, x := range map[string]float64{"dispatchers": t.Dispatchers, "hosts": t.Hosts, "share": t.Share} {
		c.Want(x >= 0 && x <= 1, t.Range, key, "0 to 1")
	}
	switch t.Kind {
	case "site":
		c.Want(t.Room > 0 && t.Room <= s.Rooms, t.Range, "room", "1 to the number of rooms")
		c.Want(t.length > 0, t.Range, "for", "more than 0s")
		c.Losses(t.Range, t.Loses)
	case "slow":
		c.Want(t.Share > 0, t.Range, "share", "more than 0")
	case "storm":
		c.Want(t.Times > 0 && t.Times <= 20, t.Range, "times", "more than 0 and at most 20")
	case "trickle":
		c.Want(t.Rate > 0, t.Range, "rate", "more than 0")
	case "cut":
		c.Want(t.Bytes > 0, t.Range, "bytes", "more than 0")
	case "delay":
		c.Want(t.delay > 0, t.Range, "delay", "more than 0s")
	}
}

// baseRate returns the jobs per second offered at load 1.
func (s *Scenario) baseRate() float64 {
	return scenario.Capacity(s.Hosts) / scenario.MeanWork(s.Classes)
}
