package peers

import "gaugeslip/coord/gossip"

// roster is what is known of each member. It is pure; Peers' lock guards it.
type roster struct {
	self     int
	known    []bool
	versions []gossip.Version
	leaving  bool
}

func newRoster(self, members int) roster {
	return roster{self: self, known: make([]bool, members), versions: make([]gossip.Version, members)}
}

// state names what is known of a member.
func (r *roster) state(member int) string {
	if !r.known[member] {
		return stateUnseen
	}
	return statusOf(r.versions[member]).String()
}

// alive tells whether a member is known, and neither silent nor gone.
func (r *roster) alive(member int) bool { return r.state(member) == stateAlive }

// learn takes in a word and tells whether it changes the member's state.
func (r *roster) learn(member int, word gossip.Version) (changed bool) {
	before := r.state(member)
	if r.known[member] && !word.Newer(r.versions[member]) {
		return false
	}
	r.known[member] = true
	r.versions[member] = word
	return r.state(member) != before
}

// join is this process's first word.
func (r *roster) join(life uint64) gossip.Version {
	r.learn(r.self, firstVersion(life))
	return r.versions[r.self]
}

// refute gives the answer to a word about this process that it has not said itself, if it wants one.
func (r *roster) refute(word gossip.Version) (answer gossip.Version, wanted bool) {
	if !word.Newer(r.versions[r.self]) {
		return gossip.Version{}, false
	}
	status := statusAlive
	if r.leaving {
		status = statusLeft
	}
	r.versions[r.self] = nextVersion(word, status)
	return r.versions[r.self], true
}

// leave is this process's last word.
func (r *roster) leave() gossip.Version {
	r.leaving = true
	r.versions[r.self] = nextVersion(r.versions[r.self], statusLeft)
	return r.versions[r.self]
}
