// Package overload has the operators' settings for overload, when the load exceeds the capacity of the hosts, and a dispatcher's
// signals of it: limits that the decision module applies, and an overload level with hysteresis from the dispatcher's own answers. It
// is free of I/O, clocks and goroutines.
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
	// Questions is the number of probes that all dispatchers together may send to a host during a mean run, per standard lane of the
	// host, while their answers report no free lane. More are allowed the more answers report one: see policy.Config.Questions.
	Questions float64
	KeepLanes bool    // reuse a lane that an own job frees without a probe, while most answers report no free lane
	Enter     float64 // share of refusals among answers above which the level becomes "overloaded"
	Leave     float64 // share below which it no longer is
	// Margin is the least ratio of a job's slack to the delay that peers cause, see policy.Config.Margin.
	Margin float64
	// Repeats is the most further sends that all dispatchers together make per first send; 0: no limit.
	Repeats float64
	Shed    bool     // refuse jobs before the decision module, in the same order at all dispatchers: see Shedder
	Floor   float64  // share of each class that is never refused there
	Order   []string // classes, the one refused last first; empty: by worth per work
}

// Defaults returns the limits of an empty block. docs/design/overload.md has the reasons for the numbers.
func Defaults() Limits {
	return Limits{Questions: 2, KeepLanes: true, Enter: 0.2, Leave: 0.05, Margin: 4, Repeats: 0.2, Shed: true, Floor: 0.25}
}

// Check returns an error for invalid settings. Its text starts with the key of the invalid setting.
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

// Apply copies the limits that the decision module applies to its settings.
func (l *Limits) Apply(c *policy.Config) {
	c.Questions, c.KeepLanes, c.Margin, c.Repeats = l.Questions, l.KeepLanes, l.Margin, l.Repeats
}

// decayTime is the time constant of the level: the weight of an answer falls to 1/e in this time.
const decayTime = 2 * time.Second

// Level reports from a dispatcher's own answers whether it is overloaded. It becomes overloaded above Enter and normal below Leave, so
// that a load near one of these thresholds does not make it flap. Use NewLevel; the zero value is not valid.
type Level struct {
	limits            Limits
	at                time.Duration
	answers, refusals float64 // weighted numbers of answers, and of refusals among them
	overloaded        bool
	changes           int
}

// minAnswers is the weight of answers below which the level does not change: a few refusals of an idle dispatcher mean nothing.
const minAnswers = 5

// NewLevel returns a level that is not overloaded.
func NewLevel(l Limits) *Level { return &Level{limits: l} }

// decay reduces the weights for the time that has passed.
func (v *Level) decay(now time.Duration) {
	if now <= v.at {
		return
	}
	f := math.Exp(-float64(now-v.at) / float64(decayTime))
	v.answers, v.refusals, v.at = v.answers*f, v.refusals*f, now
}

// RecordAnswer records an answer at a time, which must not go back. It reports whether the level has changed.
func (v *Level) RecordAnswer(now time.Duration, refused bool) (changed bool) {
	v.decay(now)
	if v.answers++; refused {
		v.refusals++
	}
	share := v.refusals / v.answers
	if v.answers < minAnswers || v.overloaded && share >= v.limits.Leave || !v.overloaded && share <= v.limits.Enter {
		return false
	}
	v.overloaded = !v.overloaded
	v.changes++
	return true
}

// Current returns whether the dispatcher is overloaded at a time, and the share of refusals that decides it.
func (v *Level) Current(now time.Duration) (overloaded bool, share float64) {
	v.decay(now)
	if v.answers < 1e-3 {
		return v.overloaded, 0
	}
	return v.overloaded, v.refusals / v.answers
}

// Changes returns how often the level has changed.
func (v *Level) Changes() int { return v.changes }
