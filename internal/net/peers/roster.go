package peers

import "gaugeslip/coord/gossip"

// roster holds the latest version about each member. It has no side effects and is guarded by the lock of Peers.
type roster struct {
	self     int
	known    []bool
	versions []gossip.Version
	leaving  bool
}

func newRoster(self, members int) roster {
	return roster{self: self, known: make([]bool, members), versions: make([]gossip.Version, members)}
}

// state returns the name of a member's state.
func (r *roster) state(member int) string {
	if !r.known[member] {
		return stateUnseen
	}
	return statusOf(r.versions[member]).String()
}

// alive reports whether a member is known and neither silent nor left.
func (r *roster) alive(member int) bool { return r.state(member) == stateAlive }

// learn records a version and reports whether it changes the member's state.
func (r *roster) learn(member int, version gossip.Version) (changed bool) {
	before := r.state(member)
	if r.known[member] && !version.Newer(r.versions[member]) {
		return false
	}
	r.known[member] = true
	r.versions[member] = version
	return r.state(member) != before
}

// join returns the first version of this process.
func (r *roster) join(incarnation uint64) gossip.Version {
	r.learn(r.self, firstVersion(incarnation))
	return r.versions[r.self]
}

// refute returns the answer to a version about this process that it did not publish itself, if one is needed.
func (r *roster) refute(version gossip.Version) (answer gossip.Version, wanted bool) {
	if !version.Newer(r.versions[r.self]) {
		return gossip.Version{}, false
	}
	status := statusAlive
	if r.leaving {
		status = statusLeft
	}
	r.versions[r.self] = nextVersion(version, status)
	return r.versions[r.self], true
}

// leave returns the last version of this process.
func (r *roster) leave() gossip.Version {
	r.leaving = true
	r.versions[r.self] = nextVersion(r.versions[r.self], statusLeft)
	return r.versions[r.self]
}
