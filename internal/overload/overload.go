// Package overload holds what operators set for times when more is asked for than the hosts can do, and what a dispatcher says
// of it: the bounds that the decision module keeps, and a level with hysteresis drawn from the dispatcher's own answers. It is
// free of I/O, clocks and goroutines.
package overload

import (
	"errors"
	"fmt"
	"math"
	"time"

	"gaugeslip/policy"
)

// Limits are the settings of the block overload.
type Limits struct {
	// Questions is how many probes all dispatchers together may send to a host in the length of a mean run, for each
	// standard lane of it, while their answers find no lane free. More is allowed the more answers find one: see
	// policy.Config.Questions.
	Questions float64
	KeepLanes bool    // a lane that an own job frees is taken again without a probe, while most answers find none free
	Enter     float64 // share of refusals among answers from which on the level is "overloaded"
	Leave     float64 // and under which it no longer is
	// Margin is how many times the delay that peers cause a job's slack must be, see policy.Config.Margin.
	Margin float64
	// Repeats is how many sends beyond the first all dispatchers together make for each first one, at most; 0: no bound.
	Repeats float64
	Shed    bool     // jobs are refused at the door, in one order for all dispatchers: see Shedder
	Floor   float64  // share of each class that is not refused there
	Order   []string // classes, the last refused first; empty: by worth for their work
}

// Defaults is what an empty block means. The figures are weighed in docs/design/overload.md.
func Defaults() Limits {
	return Limits{Questions: 2, KeepLanes: true, Enter: 0.2, Leave: 0.05, Margin: 4, Repeats: 0.2, Shed: true, Floor: 0.25}
}

// Check finds settings that can't be kept. An error begins with the faulty key.
func (l *Limits) Check() error {
	switch {
	case !(l.Questions >= 0) || math.IsInf(l.Questions, 0) || l.Questions > 1000:
		return errors.New("questions: out of range, 0 (no bound) to 1000")
	case !(l.Enter > 0 && l.Enter <= 1):
		return errors.New("enter: out of range, over 0 to 1")
	case !(l.Leave >= 0 && l.Leave < l.Enter):
		return fmt.Errorf("leave: out of range, 0 to under enter (%g)", l.Enter)
	case !(l.Margin >= 0 && l.Margin <= 100):
		return errors.New("margin: out of range, 0 to 100")
	case !(l.Repeats >= 0 && l.Repeats <= 10):
		return errors.New("repeats: out of range, 0 (no bound) to 10")
	case !(l.Floor > 0 && l.Floor <= 1):
		return errors.New("floor: out of range, over 0 to 1")
	}
	return nil
}

// Apply puts what the decision module keeps into its settings.
func (l *Limits) Apply(c *policy.Config) {
	c.Questions, c.KeepLanes, c.Margin, c.Repeats = l.Questions, l.KeepLanes, l.Margin, l.Repeats
}

// memory is how long an answer counts in the level: its weight falls to 1/e in this time.
const memory = 2 * time.Second

// Level tells from a dispatcher's own answers whether it is overloaded. It turns at Enter and back at Leave, so that a load that
// wavers about one of them does not make it flap. The zero value is of no use, see NewLevel.
type Level struct {
	lim            Limits
	at             time.Duration
	asked, refused float64 // answers, and refusals among them, by their weights
	on             bool
	turns          int
}

// least is the weight of answers under which the level stays as it is: a few refusals of a quiet dispatcher say nothing.
const least = 5

// NewLevel makes one that is not overloaded.
func NewLevel(l Limits) *Level { return &Level{lim: l} }

// fade lets time pass.
func (v *Level) fade(now time.Duration) {
	if now <= v.at {
		return
	}
	f := math.Exp(-float64(now-v.at) / float64(memory))
	v.asked, v.refused, v.at = v.asked*f, v.refused*f, now
}

// RecordAnswer takes in an answer at a time, which does not go back. True: the level has turned.
func (v *Level) RecordAnswer(now time.Duration, refused bool) (turned bool) {
	v.fade(now)
	if v.asked++; refused {
		v.refused++
	}
	share := v.refused / v.asked
	if v.asked < least || v.on && share >= v.lim.Leave || !v.on && share <= v.lim.Enter {
		return false
	}
	v.on = !v.on
	v.turns++
	return true
}

// Current gives the level at a time: whether the dispatcher is overloaded, and the share of refusals that says so.
func (v *Level) Current(now time.Duration) (overloaded bool, share float64) {
	v.fade(now)
	if v.asked < 1e-3 {
		return v.on, 0
	}
	return v.on, v.refused / v.asked
}

// Changes is how often the level has turned.
func (v *Level) Changes() int { return v.turns }
