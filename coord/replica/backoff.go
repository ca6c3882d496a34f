package replica

import (
	"slices"
	"time"

	"gaugeslip/coord/view"
)

// How patience grows with the members that fell out of the chain lately. The first few faults are met at once.
const (
	upsetsKept     = 16
	upsetFor       = time.Minute
	stallFrom      = 1 // upsets from which on patience with slow disks doubles
	stallDoublings = 3
	silenceFrom    = 4 // upsets from which on patience with silence grows
	silenceSteps   = 4 // upsets after which it has grown by a grant
)

// noteUpset notes that a member fell out of the chain.
func (r *Replica) noteUpset(now time.Duration, before, after view.View) {
	out := func(m view.Member) bool { return !after.InChain(m.ID) }
	if !before.Known() || !slices.ContainsFunc(before.Chain, out) {
		return
	}
	r.upsets = append(r.upsets, now)
	r.upsets = r.upsets[max(len(r.upsets)-upsetsKept, 0):]
}

// recentUpsets is how often members fell out of the chain within the last minute.
func (r *Replica) recentUpsets(now time.Duration) int {
	count := 0
	for _, at := range r.upsets {
		if now-at < upsetFor {
			count++
		}
	}
	return count
}

// stallPatience is how long a replica that is in touch may hold up an entry, or the own disk a write.
func (r *Replica) stallPatience(now time.Duration) time.Duration {
	return r.cfg.StallAfter << min(max(r.recentUpsets(now)-stallFrom, 0), stallDoublings)
}

// silencePatience is what is added to the time for which another replica may be silent, a grant at most.
func (r *Replica) silencePatience(now time.Duration) time.Duration {
	return r.cfg.Grant * time.Duration(min(max(r.recentUpsets(now)-silenceFrom, 0), silenceSteps)) / silenceSteps
}
