package replica

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// How the timeouts for one replica grow with the recent losses of others from the chain: if there are many, their cause is likely
// shared, and another view change doesn't help. The first few faults are handled without delay, and so are the faults of a single
// replica, however often they recur.
const (
	maxChainLosses     = 16
	chainLossWindow    = time.Minute
	stallDoublingFrom  = 1 // losses after which each further one doubles the timeout of slow disks
	maxStallDoublings  = 2
	silenceGrowthFrom  = 4 // losses after which the allowance for silence grows
	silenceGrowthSteps = 4 // further losses after which it has grown by a grant
)

// chainLoss is a view change that removed members from the chain.
type chainLoss struct {
	at   time.Duration
	lost []view.ReplicaID
}

// noteChainLoss records the members that a view change removes from the chain, if any.
func (r *Replica) noteChainLoss(now time.Duration, before, after view.View) {
	u := chainLoss{at: now}
	for _, member := range before.Chain {
		if !after.InChain(member.ID) {
			u.lost = append(u.lost, member.ID)
		}
	}
	if len(u.lost) == 0 {
		return
	}
	r.chainLosses = append(r.chainLosses, u)
	r.chainLosses = slices.Clone(r.chainLosses[max(len(r.chainLosses)-maxChainLosses, 0):])
}

// lossesOfOthers returns how many view changes within chainLossWindow removed a member other than id.
func (r *Replica) lossesOfOthers(now time.Duration, id view.ReplicaID) int {
	other := func(fell view.ReplicaID) bool { return fell != id }
	count := 0
	for _, u := range r.chainLosses {
		if now-u.at < chainLossWindow && slices.ContainsFunc(u.lost, other) {
			count++
		}
	}
	return count
}

// diskTimeout returns how long the disk of a responsive replica, or the own one, may hold an entry up.
func (r *Replica) diskTimeout(now time.Duration, id view.ReplicaID) time.Duration {
	return r.cfg.StallAfter << min(max(r.lossesOfOthers(now, id)-stallDoublingFrom, 0), maxStallDoublings)
}

// silenceAllowance returns what is added to the time for which another replica may be silent, at most a grant.
func (r *Replica) silenceAllowance(now time.Duration, id view.ReplicaID) time.Duration {
	return r.cfg.Grant * time.Duration(min(max(r.lossesOfOthers(now, id)-silenceGrowthFrom, 0), silenceGrowthSteps)) / silenceGrowthSteps
}
