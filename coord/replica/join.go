package replica

import (
	"time"

	"gaugeslip/coord/view"
)

// join asks to become a member while this replica isn't one, and to leave while it wants to.
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
	r.joinAt = now + joinEvery
	if !r.view.Known() {
		r.joinAt = now + joinFirstEvery
	}
	r.numbers++
	asked := map[string]bool{r.self.Address: true}
	for _, voter := range r.view.Voters {
		if !asked[voter.Address] {
			asked[voter.Address] = true
			r.send(view.Member{Address: voter.Address}, &Message{Join: &view.Join{Sequence: r.numbers}})
		}
	}
	for _, address := range r.contacts {
		if !asked[address] {
			asked[address] = true
			r.send(view.Member{Address: address}, &Message{Join: &view.Join{Sequence: r.numbers}})
		}
	}
}

func (r *Replica) askToLeave(now time.Duration) {
	if at := r.position(); at <= 0 {
		return
	}
	r.joinAt = now + leaveNoticeEvery
	r.numbers++
	r.send(r.view.Head(), &Message{Leave: &view.LeaveNotice{Sequence: r.numbers, Broken: r.broken}})
}

// leave begins to get out of the chain.
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

// onLeave notes a member that wants to leave.
func (r *Replica) onLeave(now time.Duration, id view.ReplicaID, m *view.LeaveNotice) {
	p := r.peer(id, now)
	p.leaving, p.broken = true, m.Broken
	r.head.governAt = now
}

// onJoin notes a replica that wants to become a member, and tells it the newest view.
func (r *Replica) onJoin(now time.Duration, m *Message) {
	if !r.view.Known() || !m.Viewless && m.Epoch > r.view.Epoch {
		r.current(now, m)
		return
	}
	if m.Viewless || m.Epoch < r.view.Epoch {
		r.news(now, m.From)
	}
	r.noteGone(now, m.From)
	p := r.peer(m.From.ID, now)
	p.leaving, p.broken = false, false
	if m.Viewless || m.Epoch != r.view.Epoch {
		return
	}
	r.noteReplaced(now, m.From)
	if !r.leading() {
		return
	}
	l := r.head.learners[m.From.ID]
	if l == nil {
		l = &learner{watchedAt: now, promptSince: now}
		r.head.learners[m.From.ID] = l
	}
	l.member, l.heardAt = m.From, now
	r.head.governAt = now
	r.chain.InviteLearner(now, m.From)
}

// noteReplaced notes that another disk has taken the address of a member of the present view, by word of a replica that knows that view.
// The member had its place at that address before the view was decided, and the newcomer runs there after: the member's disk is lost, no
// process has its identity any more, and whatever it was granted or permitted can't be used. Where that is the head, nobody has to wait
// for its grants to run out.
func (r *Replica) noteReplaced(now time.Duration, from view.Member) {
	for i, member := range r.view.Chain {
		if member.ID == from.ID || member.Address != from.Address {
			continue
		}
		known := r.replaced(member.ID)
		r.peer(member.ID, now).replacedIn = r.view.Epoch + 1
		if at := r.position(); i == 0 && at > 0 && !known {
			r.electAt = min(r.electAt, now+time.Duration(at-1)*electionStagger+r.jitter(electionJitter))
		}
	}
}

// replaced tells whether it is proven that a member of the present view is gone for good.
func (r *Replica) replaced(id view.ReplicaID) bool {
	p := r.peers[id]
	return p != nil && p.replacedIn == r.view.Epoch+1
}

// noteGone notes a member whose address has another disk now, or whose disk has another address.
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
