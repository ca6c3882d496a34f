// Package scenario holds the common parts of the scenario files of the lab and of the process rig: it reads HCL with errors that name
// file, line, column and key, and defines the hosts and job classes of a scenario.
package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"gonum.org/v1/gonum/stat/distuv"
)

// Hosts is a group of hosts of one kind.
type Hosts struct {
	Kind  string    `hcl:"kind,label"`
	Count int       `hcl:"count"`
	Lanes int       `hcl:"lanes"`
	Speed float64   `hcl:"speed,optional"` // of a lane; default 1
	Range hcl.Range `hcl:",def_range"`
}

// Class is a class of jobs. Checker.Classes parses the durations.
type Class struct {
	Name     string    `hcl:"name,label"`
	Part     float64   `hcl:"part"`           // share of all jobs
	Mean     string    `hcl:"mean"`           // mean work of a job, on a standard lane
	Sigma    float64   `hcl:"sigma,optional"` // standard deviation of the logarithm of the size
	OnTime   string    `hcl:"on_time"`
	Stretch  float64   `hcl:"stretch,optional"`
	Patience string    `hcl:"patience"`
	Worth    float64   `hcl:"worth"`
	Once     bool      `hcl:"once,optional"` // must not run twice
	Most     string    `hcl:"most,optional"` // work of the largest job; empty: unlimited
	Range    hcl.Range `hcl:",def_range"`

	Work    time.Duration // Mean
	Aim     time.Duration // OnTime
	Wait    time.Duration // Patience
	Largest time.Duration // Most; 0: unlimited
}

// Size draws the random work of a job, in nanoseconds of a standard lane.
func (c *Class) Size(src rand.Source) float64 {
	size := float64(c.Work) * distuv.LogNormal{Mu: -c.Sigma * c.Sigma / 2, Sigma: c.Sigma, Src: src}.Rand()
	if c.Largest > 0 {
		size = min(size, float64(c.Largest))
	}
	return size
}

// Within returns how long after its request a job of the given size still has a value.
func (c *Class) Within(size time.Duration) time.Duration {
	return min(c.Aim+time.Duration(c.Stretch*float64(size)), c.Wait)
}

// Choose returns the index of the class for x, a number from 0 to 1, according to the classes' shares.
func Choose(all []Class, x float64) int {
	k := 0
	for k < len(all)-1 && x >= all[k].Part {
		x -= all[k].Part
		k++
	}
	return k
}

// Count returns the total number of hosts.
func Count(all []Hosts) (n int) {
	for _, h := range all {
		n += h.Count
	}
	return n
}

// Capacity returns the total capacity of all hosts, in standard lanes.
func Capacity(all []Hosts) (lanes float64) {
	for _, h := range all {
		lanes += float64(h.Count*h.Lanes) * h.Speed
	}
	return lanes
}

// MeanWork returns the mean work of a job, in seconds of a standard lane.
func MeanWork(all []Class) (work float64) {
	for _, k := range all {
		work += k.Part * k.Work.Seconds()
	}
	return work
}

// Load reads files and parses each with parse.
func Load[T any](parse func(text []byte, name string) ([]T, error), files ...string) (all []T, err error) {
	for _, p := range files {
		text, err := os.ReadFile(p)
		if err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
		s, err := parse(text, p)
		if err != nil {
			return nil, err
		}
		all = append(all, s...)
	}
	return all, nil
}

// Decode parses the text of a file into a struct with hcl tags. Errors name file, line, column and key.
func Decode(text []byte, name string, into any) error {
	f, diags := hclparse.NewParser().ParseHCL(text, name)
	if !diags.HasErrors() {
		diags = gohcl.DecodeBody(f.Body, nil, into)
	}
	if !diags.HasErrors() {
		return nil
	}
	var errs []error
	for _, d := range diags {
		at := hcl.Range{Filename: name}
		if d.Subject != nil {
			at = *d.Subject
		}
		errs = append(errs, errorAt(at, strings.ToLower(d.Summary), "%s", d.Detail))
	}
	return errors.Join(errs...)
}

func errorAt(r hcl.Range, key, why string, args ...any) error {
	return fmt.Errorf("%s:%d:%d: %s: %s", r.Filename, r.Start.Line, r.Start.Column, key, fmt.Sprintf(why, args...))
}

// Checker validates settings and keeps the first error.
type Checker struct{ Err error }

// Want records an error for a key unless ok is true.
func (c *Checker) Want(ok bool, r hcl.Range, key, why string, args ...any) {
	if !ok && c.Err == nil {
		c.Err = errorAt(r, key, why, args...)
	}
}

// Time parses a duration. For an empty text it returns without.
func (c *Checker) Time(r hcl.Range, key, text string, without time.Duration) time.Duration {
	if text == "" {
		return without
	}
	d, err := time.ParseDuration(text)
	c.Want(err == nil && d >= 0, r, key, "%q is no duration such as \"90s\"", text)
	return d
}

// Hosts validates the hosts of the scenario at r and fills in defaults.
func (c *Checker) Hosts(all []Hosts, r hcl.Range, most int) {
	c.Want(len(all) > 0, r, "hosts", "at least one block is needed")
	for i := range all {
		h := &all[i]
		if h.Speed == 0 {
			h.Speed = 1
		}
		c.Want(h.Count > 0, h.Range, "count", "more than 0")
		c.Want(h.Lanes > 0, h.Range, "lanes", "more than 0")
		c.Want(h.Speed > 0, h.Range, "speed", "more than 0")
	}
	c.Want(Count(all) <= most, r, "hosts", "%d, at most %d", Count(all), most)
}

// Classes validates the job classes of the scenario at r, parses their durations and normalizes their shares to a sum of 1.
func (c *Checker) Classes(all []Class, r hcl.Range) {
	c.Want(len(all) > 0, r, "class", "at least one block is needed")
	parts := 0.0
	for i := range all {
		k := &all[i]
		k.Work, k.Aim = c.Time(k.Range, "mean", k.Mean, 0), c.Time(k.Range, "on_time", k.OnTime, 0)
		k.Wait, k.Largest = c.Time(k.Range, "patience", k.Patience, 0), c.Time(k.Range, "most", k.Most, 0)
		c.Want(k.Work > 0, k.Range, "mean", "more than 0s")
		c.Want(k.Wait > 0, k.Range, "patience", "more than 0s")
		c.Want(k.Part > 0, k.Range, "part", "more than 0")
		c.Want(k.Worth > 0, k.Range, "worth", "more than 0")
		c.Want(k.Sigma >= 0 && k.Sigma <= 3, k.Range, "sigma", "0 to 3")
		parts += k.Part
	}
	for i := range all {
		all[i].Part /= max(parts, 1e-9)
	}
}

// Loses reports whether the loss of a site includes what. If named is empty, the loss includes hosts and dispatchers.
func Loses(named []string, what string) bool {
	if len(named) == 0 {
		return what == "hosts" || what == "dispatchers"
	}
	return slices.Contains(named, what)
}

// Losses validates the list of what the loss of a site includes.
func (c *Checker) Losses(at hcl.Range, named []string) {
	for _, x := range named {
		c.Want(slices.Contains([]string{"hosts", "dispatchers", "links", "discovery"}, x), at, "loses",
			`%q is none of "hosts", "dispatchers", "links", "discovery"`, x)
	}
}
