package replica

import (
	"time"

	"gaugeslip/coord/view"
)

// join asks to become a member while this replica isn't one, and asks to leave while it wants to leave.
func (r *Replica) join(now time.Duration) {
	if now < r.joinAt {
		return
	}
	switch {
	case r.leaving:
		r.askToLeave(now)
	case !r.view.Known() || r.position() < 0:
		r.askToJoin(now)
	}
}

func (r *Replica) askToJoin(now time.Duration) {
	r.joinAt = now + joinInterval
	if !r.view.Known() {
		r.joinAt = now + joinIntervalNoView
	}
	r.requestSequence++
	asked := map[string]bool{r.self.Address: true}
	for _, voter := range r.view.Voters {
		if !asked[voter.Address] {
			asked[voter.Address] = true
			r.send(view.Member{Address: voter.Address}, &Message{Join: &view.Join{Sequence: r.requestSequence}})
		}
	}
	for _, address := range r.contacts {
		if !asked[address] {
			asked[address] = true
			r.send(view.Member{Address: address}, &Message{Join: &view.Join{Sequence: r.requestSequence}})
		}
	}
}

func (r *Replica) askToLeave(now time.Duration) {
	if at := r.position(); at <= 0 {
		return
	}
	r.joinAt = now + leaveInterval
	r.requestSequence++
	r.send(r.view.Head(), &Message{Leave: &view.LeaveNotice{Sequence: r.requestSequence, Broken: r.diskFailed}})
}

// leave starts leaving the chain.
func (r *Replica) leave(now time.Duration) {
	if r.leaving {
		return
	}
	r.leaving = true
	r.joinAt = now
	r.tail.readUntil = 0
	if r.position() < 0 {
		r.left = true
		r.out.Events = append(r.out.Events, Left{})
	}
}

// onLeave records that a member wants to leave.
func (r *Replica) onLeave(now time.Duration, id view.ReplicaID, m *view.LeaveNotice) {
	p := r.peer(id, now)
	p.leaving, p.diskFailed = true, m.Broken
	r.head.reconcileAt = now
}

// onJoin records a replica that wants to become a member, and sends it the newest view.
func (r *Replica) onJoin(now time.Duration, m *Message) {
	if !r.view.Known() || !m.Viewless && m.Epoch > r.view.Epoch {
		r.checkEpoch(now, m)
		return
	}
	if m.Viewless || m.Epoch < r.view.Epoch {
		r.sendView(now, m.From)
	}
	r.noteGone(now, m.From)
	p := r.peer(m.From.ID, now)
	p.leaving, p.diskFailed = false, false
	if m.Viewless || m.Epoch != r.view.Epoch {
		return
	}
	r.noteReplaced(now, m.From)
	if !r.leading() {
		return
	}
	l := r.head.learners[m.From.ID]
	if l == nil {
		l = &learner{watchedSince: now, promptSince: now}
		r.head.learners[m.From.ID] = l
	}
	l.member, l.heardAt = m.From, now
	r.head.reconcileAt = now
	r.chain.InviteLearner(now, m.From)
}

// noteReplaced records that another disk has taken the address of a member of the present view, as shown by a message from a replica that
// knows that view. The member had its place at that address before the view was decided, and the newcomer runs there afterwards. So the
// member's disk is lost, no process has its identity any more, and no grant or permission that it was given can be used. If the member is
// the head, nobody has to wait for its grants to run out.
func (r *Replica) noteReplaced(now time.Duration, from view.Member) {
	for i, member := range r.view.Chain {
		if member.ID == from.ID || member.Address != from.Address {
			continue
		}
		known := r.replaced(member.ID)
		r.peer(member.ID, now).replacedIn = r.view.Epoch + 1
		if at := r.position(); i == 0 && at > 0 && !known {
			r.electionAt = min(r.electionAt, now+time.Duration(at-1)*electionStagger+r.jitter(electionJitter))
		}
	}
}

// replaced reports whether it is proven that a member of the present view is gone for good.
func (r *Replica) replaced(id view.ReplicaID) bool {
	p := r.peers[id]
	return p != nil && p.replacedIn == r.view.Epoch+1
}

// noteGone records a member whose address has another disk now, or whose disk has another address.
func (r *Replica) noteGone(now time.Duration, from view.Member) {
	for _, member := range r.view.Voters {
		switch {
		case member.ID == from.ID && member.Address != from.Address:
			r.peer(member.ID, now).gone = r.view.InChain(member.ID)
		case member.ID != from.ID && member.Address == from.Address:
			r.peer(member.ID, now).gone = true
		}
	}
}
