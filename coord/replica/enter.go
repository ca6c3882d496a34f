package replica

import (
	"fmt"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// learn goes to a newer view, of which a replica told; none told of the very first.
func (r *Replica) learn(now time.Duration, v view.View, from view.ReplicaID) {
	if r.view.Known() && v.Epoch <= r.view.Epoch {
		if v.Epoch == r.view.Epoch && !v.Equal(r.view) {
			r.fail(fmt.Errorf("two views of epoch %d: %w", v.Epoch, chain.ErrDiverged))
		}
		return
	}
	cause := r.causeOf(v, from)
	r.noteUpset(now, r.view, v)
	r.setView(now, v)
	r.store(encodeView(v))
	r.acceptor.Reset(v.Epoch + 1)
	r.grant = 0
	if r.awaitsOldGrants(now) {
		r.grant = r.started + r.cfg.Grant
	}
	r.proposer.Reset()
	r.outbidAt = 0
	r.early = nil
	r.tail = tailState{}
	r.resetHead(now)
	r.chain.LeaveView()
	r.entered = false
	r.enterAt = r.pendingToken()
	r.joinAt = now
	r.expectHead(now)
	r.out.Events = append(r.out.Events, ViewChanged{View: v, Cause: cause})
	if r.leaving && !r.left && r.position() < 0 {
		r.left = true
		r.out.Events = append(r.out.Events, Left{})
	}
}

// awaitsOldGrants tells whether an earlier life's grants may still count. An epoch learnt in this life may have been
// known in the one before, without a trace on disk.
func (r *Replica) awaitsOldGrants(now time.Duration) bool {
	return !r.fresh && now < r.started+r.cfg.Grant
}

// enter lets the chain go by the view, which is on disk.
func (r *Replica) enter(now time.Duration) {
	r.entered = true
	at := r.position()
	switch {
	case at < 0:
		r.chain.EnterView(now, chain.Role{Epoch: r.view.Epoch, Upstream: r.view.Head()})
	case at == 0 && !r.head.allowed:
		r.entered = false // an earlier life's epoch: a new one has to come
	default:
		r.chain.EnterView(now, r.role(at))
		r.head.inherited = r.chain.Log().Last()
	}
	if !r.entered {
		return
	}
	early := r.early
	r.early = nil
	for _, m := range early {
		r.chain.Receive(now, m.From, m.Chain)
	}
}

func (r *Replica) role(at int) chain.Role {
	role := chain.Role{Epoch: r.view.Epoch, Head: at == 0}
	if at > 0 {
		role.Upstream = r.view.Chain[at-1]
	}
	if at < len(r.view.Chain)-1 {
		role.Downstream = &r.view.Chain[at+1]
	}
	return role
}

// position is this replica's place in the chain, -1 without one. A place at another address doesn't count.
func (r *Replica) position() int { return r.place }

// setView goes by a view.
func (r *Replica) setView(now time.Duration, v view.View) {
	r.view = v
	r.learned = now
	r.place = v.Position(r.self.ID)
	if r.place >= 0 && v.Chain[r.place].Address != r.self.Address {
		r.place = -1
	}
}
