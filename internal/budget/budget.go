// Package budget divides what the whole fleet may use among its dispatchers, so that their parts never come to more than the
// whole. It is free of I/O, clocks and goroutines: callers pass the time of a monotonic clock of the process, and carry messages.
//
// The invariant. A budget is cut into Whole units. At every instant of real time, the units that processes of the fleet may still
// use sum to at most Whole, as long as
//
//   - each process's clock runs at most by Config.Drift faster or slower than real time, in any stretch of it; what its clock
//     shows does not matter (a clock that stands still while the machine sleeps breaks this: keep such machines out);
//   - the number of members that the settings say is right, and at most one process at a time has a member's number: see Lock and
//     the address that a member has to hold.
//
// Nothing is assumed of messages: they may be lost, late, repeated, out of order or torn. Nothing is assumed of pauses, but that a
// use which was decided is carried out with the Step that decided it: a process that is stopped between the two uses what that one
// Step had decided, at most, after its share's end.
//
// What is observed of a budget's uses in any window follows, for each kind, with the burst that it states: see Rate, Window, Held.
//
// The ways to divide are Static, which needs no talk, and Node, which leases what is not used where it is wanted; with neither
// there is no budget. docs/design/budgets.md has the argument, and what was weighed.
package budget

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Units are parts of a budget.
type Units int32

// Whole is all of a budget.
const Whole Units = 1 << 20

// Share is what a process may use of a budget: Floor for good, More besides until the time Until.
type Share struct {
	Floor, Extra Units
	Until        time.Duration
	Epoch        uint32 // rises with each change
}

// At is what may be used at a time.
func (s Share) At(now time.Duration) Units {
	if now < s.Until {
		return s.Floor + s.Extra
	}
	return s.Floor
}

// EqualShare is the share of one of so many members that never talk: an equal part, the rest of the division to nobody.
func EqualShare(members int) Share { return Share{Floor: Whole / Units(max(members, 1))} }

// Way is how budgets are divided.
type Way string

// The ways.
const (
	StaticShares Way = "static" // equal parts by the settings' count
	LeasedShares Way = "talk"   // a floor by the settings' count, the rest by need
)

// Limits are the settings of the block budgets.
type Limits struct {
	Way       Way
	Floor     float64 // LeasedShares: of an equal part, what each member owns whatever happens
	Tenants   bool    // tenants are held to the quotas of the platform's settings
	Burst     float64 // of tenants, in seconds of their quota
	Probes    float64 // of a host by all dispatchers, a second; 0: no bound
	ListCalls float64 // for the list by all dispatchers, a second; 0: no bound
}

// Defaults is what an empty block means.
func Defaults() Limits { return Limits{Way: StaticShares, Floor: 0.25, Tenants: true, Burst: 1} }

// Check finds settings that can't be kept. An error begins with the faulty key.
func (l *Limits) Check() error {
	switch {
	case l.Way != StaticShares && l.Way != LeasedShares:
		return fmt.Errorf("way: %q is neither %q nor %q", l.Way, StaticShares, LeasedShares)
	case !(l.Floor >= 0 && l.Floor <= 1):
		return errors.New("floor: out of range, 0 to 1 of an equal part: over it the floors come to more than the whole")
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

// FloorUnits is what each of so many members owns whatever happens.
func (l *Limits) FloorUnits(members int) Units {
	return Units(float64(EqualShare(members).Floor) * l.Floor)
}

// ExtraDemand is what a member asks for beyond its floor when so much is asked of it, of a whole of so much: a tenth more, for what is
// yet to come.
func ExtraDemand(asked, whole float64, floor Units) Units {
	const more = 1.1
	if !(whole > 0) {
		return 0
	}
	return max(0, Units(min(1, more*asked/whole)*float64(Whole))-floor)
}
