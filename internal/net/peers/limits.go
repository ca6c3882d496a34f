package peers

import (
	"errors"
	"fmt"
	"net"
	"slices"
)

// maxMembers bounds the fleet; more would not fit in what one leader can hear.
const maxMembers = 2000

// Limits are the settings of the block peers.
type Limits struct {
	Listen  string   // this member's address, TCP
	Members []string // address of each member by number, as it is reached from here; the own one too
	Voters  int      // the first so many decide who leads
	Drift   float64  // of any member's clock against real time, at most
}

// Defaults is what an empty block means, but for the addresses, which it has to have.
func Defaults() Limits { return Limits{Voters: 3, Drift: 0.01} }

// Check finds settings that can't be kept. An error begins with the faulty key.
func (l *Limits) Check() error {
	for i, a := range append(slices.Clone(l.Members), l.Listen) {
		key := "members"
		if i == len(l.Members) {
			key = "listen"
		}
		if host, port, err := net.SplitHostPort(a); err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
			return fmt.Errorf("%s: %q is no IP address with a port", key, a)
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
