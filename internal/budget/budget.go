// Package budget divides fleet-wide budgets among dispatchers, so that their shares never sum to more than the whole. It is free of
// I/O, clocks and goroutines: callers pass the time of a monotonic clock of the process, and carry messages.
//
// The invariant: a budget consists of Whole units. At every instant of real time, the units that processes of the fleet may still use
// sum to at most Whole, as long as
//
//   - each process's clock runs at most by Config.Drift faster or slower than real time, in any interval; the absolute time that it
//     shows does not matter (a clock that stops while the machine sleeps breaks this assumption: exclude such machines);
//   - the number of members in the settings is right, and at most one process at a time has a member's number. internal/node ensures the
//     latter by a file lock or by the address that a member has to hold.
//
// Messages may be lost, late, repeated, reordered or corrupt. A process may pause at any time, but a use that was decided must be
// carried out with the Step that decided it. A process that is stopped between the two uses at most what that one Step had decided
// after its share has ended.
//
// The bound on the uses of a budget in a time window depends on the kind of limit, which states its burst: see TokenBucket,
// SlidingWindow and ConcurrencyLimit.
//
// Budgets are divided either by EqualShare, which needs no messages, or by Node, which leases unused units to members that need them.
// Without either there is no budget. docs/design/budgets.md has the argument and the alternatives.
package budget

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Units are parts of a budget.
type Units int32

// Whole is an entire budget.
const Whole Units = 1 << 20

// Share is what a process may use of a budget: Floor permanently, and Extra in addition until the time Until.
type Share struct {
	Floor, Extra Units
	Until        time.Duration
	Epoch        uint32 // increases with each change
}

// At returns the units that may be used at a time.
func (s Share) At(now time.Duration) Units {
	if now < s.Until {
		return s.Floor + s.Extra
	}
	return s.Floor
}

// EqualShare returns the permanent share of one of a number of members that exchange no messages. The remainder of the division is
// unused.
func EqualShare(members int) Share { return Share{Floor: Whole / Units(max(members, 1))} }

// Way is how budgets are divided.
type Way string

// The ways to divide budgets.
const (
	StaticShares Way = "static" // equal shares by the number of members in the settings
	LeasedShares Way = "talk"   // a floor by the number of members in the settings, the rest leased by demand
)

// Limits are the settings of the block budgets.
type Limits struct {
	Way       Way
	Floor     float64 // LeasedShares: the permanent part of each member, as a share of an equal share
	Tenants   bool    // limit tenants to the quotas of the platform's settings
	Burst     float64 // of tenants, in seconds of their quota
	Probes    float64 // of each host by all dispatchers, per second; 0: no limit
	ListCalls float64 // for the list of hosts by all dispatchers, per second; 0: no limit
}

// Defaults returns the limits of an empty block.
func Defaults() Limits { return Limits{Way: StaticShares, Floor: 0.25, Tenants: true, Burst: 1} }

// Check returns an error for invalid settings. Its text starts with the key of the invalid setting.
func (l *Limits) Check() error {
	switch {
	case l.Way != StaticShares && l.Way != LeasedShares:
		return fmt.Errorf("way: %q is neither %q nor %q", l.Way, StaticShares, LeasedShares)
	case !(l.Floor >= 0 && l.Floor <= 1):
		return errors.New("floor: out of range, 0 to 1 of an equal part: above 1 the floors would exceed the whole")
	case !(l.Burst > 0 && l.Burst <= 3600):
		return errors.New("burst: out of range, over 0 to 3600 seconds")
	}
	for _, x := range []struct {
		key string
		v   float64
	}{{"probes", l.Probes}, {"list_calls", l.ListCalls}} {
		if !(x.v >= 0) || math.IsInf(x.v, 0) {
			return fmt.Errorf("%s: out of range, 0 (no bound) or more", x.key)
		}
	}
	return nil
}

// FloorUnits returns the permanent units of each of a number of members.
func (l *Limits) FloorUnits(members int) Units {
	return Units(float64(EqualShare(members).Floor) * l.Floor)
}

// ExtraDemand returns the units that a member requests beyond its floor, for a demand and a whole budget in the same unit. It adds a
// tenth for growth.
func ExtraDemand(asked, whole float64, floor Units) Units {
	const more = 1.1
	if !(whole > 0) {
		return 0
	}
	return max(0, Units(min(1, more*asked/whole)*float64(Whole))-floor)
}
