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
	upsetsKept     = 16
	upsetFor       = time.Minute
	stallFrom      = 1 // upsets after which each one doubles patience with slow disks
	stallDoublings = 2
	silenceFrom    = 4 // upsets after which patience with silence grows
	silenceSteps   = 4 // upsets after which it has grown by a grant
)

// upset is a view from which members fell out of the chain.
type upset struct {
	at   time.Duration
	fell []view.ReplicaID
}

// noteUpset notes the members that fall out of the chain, if any do.
func (r *Replica) noteUpset(now time.Duration, before, after view.View) {
	u := upset{at: now}
	for _, member := range before.Chain {
		if !after.InChain(member.ID) {
			u.fell = append(u.fell, member.ID)
		}
	}
	if len(u.fell) == 0 {
		return
	}
	r.upsets = append(r.upsets, u)
	r.upsets = slices.Clone(r.upsets[max(len(r.upsets)-upsetsKept, 0):])
}

// upsetsBeside is how often other members fell out of the chain within the last minute.
func (r *Replica) upsetsBeside(now time.Duration, id view.ReplicaID) int {
	other := func(fell view.ReplicaID) bool { return fell != id }
	count := 0
	for _, u := range r.upsets {
		if now-u.at < upsetFor && slices.ContainsFunc(u.fell, other) {
			count++
		}
	}
	return count
}

// stallPatience is how long the disk of a replica that is in touch, or the own one, may hold things up.
func (r *Replica) stallPatience(now time.Duration, id view.ReplicaID) time.Duration {
	return r.cfg.StallAfter << min(max(r.upsetsBeside(now, id)-stallFrom, 0), stallDoublings)
}

// silencePatience is what is added to the time for which another replica may be silent, a grant at most.
func (r *Replica) silencePatience(now time.Duration, id view.ReplicaID) time.Duration {
	return r.cfg.Grant * time.Duration(min(max(r.upsetsBeside(now, id)-silenceFrom, 0), silenceSteps)) / silenceSteps
}
