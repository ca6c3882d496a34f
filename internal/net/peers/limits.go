package peers

import (
	"errors"
	"fmt"
	"net"
	"slices"
)

// maxMembers bounds the fleet. One leader could not process the messages of more members.
const maxMembers = 2000

// Limits are the settings of the block peers.
type Limits struct {
	Listen  string   // TCP address of this member
	Members []string // addresses of all members by number, this one included, as seen from this process
	Voters  int      // this many members, counted from the first, elect the leader
	Drift   float64  // maximum deviation of any member's clock rate from real time, as a fraction
}

// Defaults returns the settings of an empty block. The addresses have no default.
func Defaults() Limits { return Limits{Voters: 3, Drift: 0.01} }

// Check validates the settings. An error begins with the faulty key.
func (l *Limits) Check() error {
	for i, a := range append(slices.Clone(l.Members), l.Listen) {
		key := "members"
		if i == len(l.Members) {
			key = "listen"
		}
		if host, port, err := net.SplitHostPort(a); err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
			return fmt.Errorf("%s: %q is not an IP address with a port", key, a)
		}
	}
	switch {
	case len(l.Members) < 2 || len(l.Members) > maxMembers:
		return fmt.Errorf("members: out of range, 2 to %d", maxMembers)
	case l.Voters < 1 || l.Voters > len(l.Members) || l.Voters > 63 || l.Voters%2 == 0:
		return errors.New("voters: out of range, an odd number up to that of the members")
	case !(l.Drift >= 0.0001 && l.Drift <= 0.2):
		return errors.New("drift: out of range, 0.0001 to 0.2")
	}
	return nil
}
