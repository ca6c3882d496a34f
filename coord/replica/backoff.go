package replica

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// How patience with one replica grows with the others that fell out of the chain lately: where many do, what slows them down is
// likely shared, and changing the view again doesn't help. The first few faults are met at once, and so is one replica's trouble
// however often it comes back.
const (
	maxChainLosses     = 16
	chainLossWindow    = time.Minute
	stallDoublingFrom  = 1 // upsets after which each one doubles patience with slow disks
	maxStallDoublings  = 2
	silenceGrowthFrom  = 4 // upsets after which patience with silence grows
	silenceGrowthSteps = 4 // upsets after which it has grown by a grant
)

// chainLoss is a view from which members fell out of the chain.
type chainLoss struct {
	at   time.Duration
	lost []view.ReplicaID
}

// noteChainLoss notes the members that fall out of the chain, if any do.
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

// lossesOfOthers is how often other members fell out of the chain within the last minute.
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

// diskTimeout is how long the disk of a replica that is in touch, or the own one, may hold things up.
func (r *Replica) diskTimeout(now time.Duration, id view.ReplicaID) time.Duration {
	return r.cfg.StallAfter << min(max(r.lossesOfOthers(now, id)-stallDoublingFrom, 0), maxStallDoublings)
}

// silenceAllowance is what is added to the time for which another replica may be silent, a grant at most.
func (r *Replica) silenceAllowance(now time.Duration, id view.ReplicaID) time.Duration {
	return r.cfg.Grant * time.Duration(min(max(r.lossesOfOthers(now, id)-silenceGrowthFrom, 0), silenceGrowthSteps)) / silenceGrowthSteps
}
