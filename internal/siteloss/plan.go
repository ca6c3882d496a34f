package siteloss

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Site is one as a plan sees it. Work is counted in standard lanes: what one such lane can do.
type Site struct {
	Name     string  `json:"site"`
	Hosts    int     `json:"hosts"`
	Capacity float64 `json:"capacity"` // standard lanes
	Load     float64 `json:"load"`     // that its own clients ask for
}

// Class is one as a plan sees it, in the order in which classes are kept: the last is refused first.
type Class struct {
	Name  string  `json:"class"`
	Share float64 `json:"share"` // of the work that is asked for
	Floor float64 `json:"floor"` // share of it that is kept before any other class's rest
}

// Limits are the settings of the block sites.
type Limits struct {
	Usable float64       // share of a site's capacity that a plan counts on
	Notice time.Duration // until the front deals clients of a lost site out elsewhere, at most
}

// Defaults is what an empty block means.
func Defaults() Limits { return Limits{Usable: 0.95, Notice: 4 * time.Second} }

// Check finds settings that can't be kept. An error begins with the faulty key.
func (l *Limits) Check() error {
	switch {
	case !(l.Usable > 0 && l.Usable <= 1):
		return errors.New("usable: out of range, over 0 to 1")
	case l.Notice < 0 || l.Notice > time.Hour:
		return errors.New("notice: out of range, 0s to 1h")
	}
	return nil
}

// Fleet is what a plan is made from.
type Fleet struct {
	Sites    []Site
	Classes  []Class
	Usable   float64 // share of a site's capacity that may be asked for before the rest waits too long
	ColdFrom float64
	WarmUp   time.Duration
	Notice   time.Duration // until clients of a lost site come elsewhere, at most
}

// Spill is what one site takes of a lost one's load.
type Spill struct {
	Site  string  `json:"site"`
	Spare float64 `json:"spare"` // beside its own clients' load
	Takes float64 `json:"takes"`
	Load  float64 `json:"load_then"` // of its capacity
}

// Kept is what is served of a class while a site is lost, at best.
type Kept struct {
	Class  string  `json:"class"`
	Served float64 `json:"served"` // share of what is asked for, at all sites
}

// Loss is what is planned for the loss of one site.
type Loss struct {
	Site      string        `json:"lost"`
	Spills    []Spill       `json:"spill"`
	Refused   float64       `json:"refused"`       // work that nobody takes
	Kept      []Kept        `json:"kept"`          // in the order of classes
	Load      float64       `json:"load"`          // of all that is left
	RefusesAt float64       `json:"refuses_from"`  // times the present load: from there on something is refused
	Returns   time.Duration `json:"returns_in_ns"` // from the first answer until all of it is back
	Slope     float64       `json:"slope"`         // share of the site's own load that goes back to it in each second of that
}

// Check finds a fleet that no plan can be made for. An error begins with the faulty key.
func (f *Fleet) Check() error {
	if len(f.Sites) < 2 {
		return fmt.Errorf("sites: %d: with fewer than two there is nowhere to go", len(f.Sites))
	}
	for _, s := range f.Sites {
		if !(s.Capacity >= 0) || !(s.Load >= 0) || math.IsInf(s.Capacity+s.Load, 0) {
			return fmt.Errorf("sites: %s: capacity and load are no such figures", s.Name)
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

// Asked is the work that all clients ask for.
func (f *Fleet) Asked() (sum float64) {
	for _, s := range f.Sites {
		sum += s.Load
	}
	return sum
}

// Plan says what becomes of each site's load when that site is lost, in the order of the sites. It follows from the fleet alone, so
// that all who know the same fleet plan the same. A site's own clients keep theirs first; of what is then spare each other site
// takes its part of the lost one's load, in proportion, so that none is filled before another and the sum is never over what is
// spare. The fleet must be sound.
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

// servedByClass deals what can be done out to the classes: every floor first, in the order of the classes, then the rest likewise.
func (f *Fleet) servedByClass(asked, can float64) (all []Kept) {
	served := make([]float64, len(f.Classes))
	for _, floor := range []bool{true, false} {
		for i, c := range f.Classes {
			want := asked * c.Share * c.Floor
			if !floor {
				want = asked * c.Share * (1 - c.Floor)
			}
			x := min(want, max(can, 0))
			served[i] += x
			can -= x
		}
	}
	for i, c := range f.Classes {
		k := Kept{Class: c.Name, Served: 1}
		if want := asked * c.Share; want > 0 { // the product of two that are may not be
			k.Served = min(1, served[i]/want)
		}
		all = append(all, k)
	}
	return all
}

// Back is how much of its own load a site that returns should have again, so long after its first answer: what it can do by then.
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
