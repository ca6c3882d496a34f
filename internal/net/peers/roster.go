package peers

import "gaugeslip/coord/gossip"

// roster is what is known of each member. It is pure; Peers' lock guards it.
type roster struct {
	self    int
	known   []bool
	words   []gossip.Version
	leaving bool
}

func newRoster(self, members int) roster {
	return roster{self: self, known: make([]bool, members), words: make([]gossip.Version, members)}
}

// state names what is known of a member.
func (r *roster) state(member int) string {
	if !r.known[member] {
		return stateUnseen
	}
	return statusOf(r.words[member]).String()
}

// alive tells whether a member is known, and neither silent nor gone.
func (r *roster) alive(member int) bool { return r.state(member) == stateAlive }

// learn takes in a word and tells whether it changes the member's state.
func (r *roster) learn(member int, word gossip.Version) (changed bool) {
	before := r.state(member)
	if r.known[member] && !word.Newer(r.words[member]) {
		return false
	}
	r.known[member] = true
	r.words[member] = word
	return r.state(member) != before
}

// begin is this process's first word.
func (r *roster) begin(life uint64) gossip.Version {
	r.learn(r.self, firstWord(life))
	return r.words[r.self]
}

// refute gives the answer to a word about this process that it has not said itself, if it wants one.
func (r *roster) refute(word gossip.Version) (answer gossip.Version, wanted bool) {
	if !word.Newer(r.words[r.self]) {
		return gossip.Version{}, false
	}
	status := statusAlive
	if r.leaving {
		status = statusLeft
	}
	r.words[r.self] = nextWord(word, status)
	return r.words[r.self], true
}

// leave is this process's last word.
func (r *roster) leave() gossip.Version {
	r.leaving = true
	r.words[r.self] = nextWord(r.words[r.self], statusLeft)
	return r.words[r.self]
}
