package peers

import (
	"strconv"
	"strings"

	"gaugeslip/coord/gossip"
)

// status is the status of a member. Of two versions with the same number the one with the higher status wins.
type status uint64

// The statuses.
const (
	statusAlive status = iota
	statusSilent
	statusLeft
)

// The names of the states of a Member.
const (
	stateUnseen = "unseen"
	stateAlive  = "alive"
	stateSilent = "silent"
	stateLeft   = "left"
)

func (s status) String() string {
	switch s {
	case statusAlive:
		return stateAlive
	case statusLeft:
		return stateLeft
	default:
		return stateSilent
	}
}

// The status of a member is gossiped as the version of a value without data, whose key is the member's name. The major
// part of the version is the member's incarnation. The minor part is a sequence number within that incarnation, with
// the status in its lowest bits. A member that learns that it is considered silent publishes a version with the next
// number.
const (
	statusBits = 2
	statusMask = 1<<statusBits - 1
)

// firstVersion is the version with which a member starts an incarnation.
func firstVersion(incarnation uint64) gossip.Version { return gossip.Version{Major: incarnation} }

// statusOf returns the status in a version.
func statusOf(version gossip.Version) status { return status(version.Minor & statusMask) }

// withStatus returns the same version with another status.
func withStatus(version gossip.Version, s status) gossip.Version {
	version.Minor = version.Minor&^statusMask | uint64(s)
	return version
}

// nextVersion returns the version with which a member refutes or replaces a version about itself.
func nextVersion(version gossip.Version, s status) gossip.Version {
	version.Minor += statusMask + 1
	return withStatus(version, s)
}

// name returns the name of a member. Names are used in place of addresses, which may differ for each caller.
func name(number int) string { return "m" + strconv.Itoa(number) }

// number returns the number of the member with a name, or -1 if there is none.
func number(name string, members int) int {
	digits, found := strings.CutPrefix(name, "m")
	n, err := strconv.Atoi(digits)
	if !found || err != nil || n < 0 || n >= members {
		return -1
	}
	return n
}
