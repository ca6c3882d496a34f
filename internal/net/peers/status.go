package peers

import (
	"strconv"
	"strings"

	"gaugeslip/coord/gossip"
)

// status is what is said of a member. Of two words with the same number the higher status stands.
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

// What is said of a member is a version of the gossip's value under its name, without data: the major part is the member's life,
// the minor one numbers the words about that life and has their status in its lowest bits. A member that hears itself called
// silent answers with the next word.
const (
	statusBits = 2
	statusMask = 1<<statusBits - 1
)

// firstVersion is a member's own at the start of a life.
func firstVersion(life uint64) gossip.Version { return gossip.Version{Major: life} }

// statusOf reads a word.
func statusOf(word gossip.Version) status { return status(word.Minor & statusMask) }

// withStatus is the same word with another status.
func withStatus(word gossip.Version, s status) gossip.Version {
	word.Minor = word.Minor&^statusMask | uint64(s)
	return word
}

// nextVersion is a member's answer to a word about it.
func nextVersion(word gossip.Version, s status) gossip.Version {
	word.Minor += statusMask + 1
	return withStatus(word, s)
}

// name is a member's, by number; it stands for its address, which is another one for each who calls it.
func name(number int) string { return "m" + strconv.Itoa(number) }

// number is the member with a name, of so many; -1: none has it.
func number(name string, members int) int {
	digits, found := strings.CutPrefix(name, "m")
	n, err := strconv.Atoi(digits)
	if !found || err != nil || n < 0 || n >= members {
		return -1
	}
	return n
}
