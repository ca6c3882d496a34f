package siteloss

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Site is the input of a plan for one site. Work is measured in standard lanes: the work that one such lane can do.
type Site struct {
	Name     string  `json:"site"`
	Hosts    int     `json:"hosts"`
	Capacity float64 `json:"capacity"` // standard lanes
	Load     float64 `json:"load"`     // requested by its own clients
}

// Class is the input of a plan for one class of jobs. Classes are in order of priority: the last is refused first.
type Class struct {
	Name  string  `json:"class"`
	Share float64 `json:"share"` // share of the requested work
	Floor float64 `json:"floor"` // share of the class's work that is served before any class's work above its floor
}

// Limits are the settings of the block sites.
type Limits struct {
	Usable float64       // share of a site's capacity that a plan counts on
	Notice time.Duration // maximum time until the load balancer in front sends a lost site's clients elsewhere
}

// Defaults returns the settings of an empty block.
func Defaults() Limits { return Limits{Usable: 0.95, Notice: 4 * time.Second} }

// Check validates the settings. An error begins with the faulty key.
func (l *Limits) Check() error {
	switch {
	case !(l.Usable > 0 && l.Usable <= 1):
		return errors.New("usable: out of range, over 0 to 1")
	case l.Notice < 0 || l.Notice > time.Hour:
		return errors.New("notice: out of range, 0s to 1h")
	}
	return nil
}

// Fleet is the input of a plan.
type Fleet struct {
	Sites    []Site
	Classes  []Class
	Usable   float64 // share of a site's capacity that can be requested before jobs wait too long
	ColdFrom float64
	WarmUp   time.Duration
	Notice   time.Duration // maximum time until a lost site's clients arrive at other sites
}

// Spill is the part of a lost site's load that another site takes over.
type Spill struct {
	Site  string  `json:"site"`
	Spare float64 `json:"spare"` // usable capacity beyond its own clients' load
	Takes float64 `json:"takes"`
	Load  float64 `json:"load_then"` // share of its capacity
}

// Kept is the share of a class that can be served while a site is lost.
type Kept struct {
	Class  string  `json:"class"`
	Served float64 `json:"served"` // share of the requested work, at all sites
}

// Loss is the plan for the loss of one site.
type Loss struct {
	Site      string        `json:"lost"`
	Spills    []Spill       `json:"spill"`
	Refused   float64       `json:"refused"`       // work that no site takes
	Kept      []Kept        `json:"kept"`          // in the order of classes
	Load      float64       `json:"load"`          // requested work as a share of the remaining capacity
	RefusesAt float64       `json:"refuses_from"`  // multiple of the present load from which on work is refused
	Returns   time.Duration `json:"returns_in_ns"` // from the first answer until full capacity
	Slope     float64       `json:"slope"`         // share of the site's own load that returns to it per second
}

// Check validates the fleet for planning. An error begins with the faulty key.
func (f *Fleet) Check() error {
	if len(f.Sites) < 2 {
		return fmt.Errorf("sites: %d: at least 2 are needed to plan for the loss of one", len(f.Sites))
	}
	for _, s := range f.Sites {
		if !(s.Capacity >= 0) || !(s.Load >= 0) || math.IsInf(s.Capacity+s.Load, 0) {
			return fmt.Errorf("sites: %s: capacity and load must be finite and not negative", s.Name)
		}
	}
	sum := 0.0
	for _, c := range f.Classes {
		if sum += c.Share; !(c.Share >= 0) || !(c.Floor >= 0 && c.Floor <= 1) {
			return fmt.Errorf("classes: %s: share or floor out of range", c.Name)
		}
	}
	switch {
	case len(f.Classes) == 0 || math.Abs(sum-1) > 1e-6:
		return fmt.Errorf("classes: the shares come to %g, not 1", sum)
	case !(f.Usable > 0 && f.Usable <= 1):
		return fmt.Errorf("usable: %g: out of range, over 0 to 1", f.Usable)
	case !(f.ColdFrom > 0 && f.ColdFrom <= 1):
		return fmt.Errorf("cold_from: %g: out of range, over 0 to 1", f.ColdFrom)
	}
	return nil
}

// Asked returns the work that all clients request.
func (f *Fleet) Asked() (sum float64) {
	for _, s := range f.Sites {
		sum += s.Load
	}
	return sum
}

// Plan returns a plan for the loss of each site, in the order of the sites. It depends only on the fleet, so dispatchers with the
// same fleet make the same plan. Each remaining site serves its own clients first. The lost site's load is spread in proportion to
// the spare capacity that remains, so that no site fills up before another and the total never exceeds the spare capacity. The
// fleet must pass Check.
func (f *Fleet) Plan() (all []Loss) {
	for i := range f.Sites {
		all = append(all, f.planLoss(i))
	}
	return all
}

func (f *Fleet) planLoss(lost int) Loss {
	l := Loss{Site: f.Sites[lost].Name}
	left, asked, spare := 0.0, f.Asked(), 0.0
	for i, s := range f.Sites {
		if i == lost {
			continue
		}
		left += s.Capacity * f.Usable
		x := Spill{Site: s.Name, Spare: max(0, s.Capacity*f.Usable-s.Load)}
		spare += x.Spare
		l.Spills = append(l.Spills, x)
	}
	moved := min(spare, f.Sites[lost].Load)
	k := 0
	for i, s := range f.Sites {
		if i == lost {
			continue
		}
		x := &l.Spills[k]
		k++
		if spare > 0 {
			x.Takes = moved * x.Spare / spare
		}
		x.Load = ratio(s.Load+x.Takes, s.Capacity)
		l.Refused += max(0, s.Load-s.Capacity*f.Usable)
	}
	l.Refused += f.Sites[lost].Load - moved
	l.Load = ratio(asked, left/f.Usable)
	l.RefusesAt = ratio(left, asked)
	l.Kept = f.servedByClass(asked, min(left, asked-l.Refused))
	if f.ColdFrom < 1 {
		l.Returns = f.WarmUp
	}
	l.Slope = ratio(1, max(l.Returns.Seconds(), 1))
	return l
}

// servedByClass distributes the available work over the classes: first all floors, in the order of the classes, then the rest.
func (f *Fleet) servedByClass(asked, available float64) (all []Kept) {
	served := make([]float64, len(f.Classes))
	for _, floor := range []bool{true, false} {
		for i, c := range f.Classes {
			want := asked * c.Share * c.Floor
			if !floor {
				want = asked * c.Share * (1 - c.Floor)
			}
			part := min(want, max(available, 0))
			served[i] += part
			available -= part
		}
	}
	for i, c := range f.Classes {
		k := Kept{Class: c.Name, Served: 1}
		if want := asked * c.Share; want > 0 { // the product of two positive numbers can underflow to 0
			k.Served = min(1, served[i]/want)
		}
		all = append(all, k)
	}
	return all
}

// Back returns the share of its own load that a returning site should carry at a time after its first answer: its capacity by then.
func (f *Fleet) Back(after time.Duration) float64 {
	if after < 0 {
		return 0
	}
	if f.WarmUp <= 0 || after >= f.WarmUp {
		return 1
	}
	return f.ColdFrom + (1-f.ColdFrom)*float64(after)/float64(f.WarmUp)
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}
