package replica

import (
	"fmt"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// adoptView switches to a newer view, which the replica from sent; from is empty for the genesis view.
func (r *Replica) adoptView(now time.Duration, v view.View, from view.ReplicaID) {
	if r.view.Known() && v.Epoch <= r.view.Epoch {
		if v.Epoch == r.view.Epoch && !v.Equal(r.view) {
			r.fail(fmt.Errorf("two views of epoch %d: %w", v.Epoch, chain.ErrDiverged))
		}
		return
	}
	cause := r.viewCause(v, from)
	r.noteChainLoss(now, r.view, v)
	r.setView(now, v)
	r.store(encodeView(v))
	r.acceptor.Reset(v.Epoch + 1)
	r.grantUntil = 0
	if r.earlierGrantsMayCount(now) {
		r.grantUntil = r.started + r.cfg.Grant
	}
	r.proposer.Reset()
	r.higherBallotAt = 0
	r.earlyMessages = nil
	r.tail = tailState{}
	r.resetHead(now)
	r.chain.LeaveView()
	r.entered = false
	r.enterToken = r.pendingToken()
	r.joinAt = now
	r.resetElectionTimer(now)
	r.out.Events = append(r.out.Events, ViewChanged{View: v, Cause: cause})
	if r.leaving && !r.left && r.position() < 0 {
		r.left = true
		r.out.Events = append(r.out.Events, Left{})
	}
}

// earlierGrantsMayCount reports whether grants of an earlier incarnation may still count. An epoch that this incarnation has just learned
// may have been known to the earlier one without a trace on disk.
func (r *Replica) earlierGrantsMayCount(now time.Duration) bool {
	return !r.newIdentity && now < r.started+r.cfg.Grant
}

// enterView lets the chain work in the view, which is on disk.
func (r *Replica) enterView(now time.Duration) {
	r.entered = true
	at := r.position()
	switch {
	case at < 0:
		r.chain.EnterView(now, chain.Role{Epoch: r.view.Epoch, Upstream: r.view.Head()})
	case at == 0 && !r.head.currentIncarnation:
		r.entered = false // an earlier incarnation's epoch: a new epoch is needed
	default:
		r.chain.EnterView(now, r.role(at))
		r.head.inheritedIndex = r.chain.Log().Last()
	}
	if !r.entered {
		return
	}
	early := r.earlyMessages
	r.earlyMessages = nil
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

// position returns this replica's place in the chain, or -1. A place under another address doesn't count.
func (r *Replica) position() int { return r.ownPosition }

// setView sets the present view and the own place in it.
func (r *Replica) setView(now time.Duration, v view.View) {
	r.view = v
	r.viewLearnedAt = now
	r.ownPosition = v.Position(r.self.ID)
	if r.ownPosition >= 0 && v.Chain[r.ownPosition].Address != r.self.Address {
		r.ownPosition = -1
	}
}
