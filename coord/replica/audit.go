package replica

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gaugeslip/coord/view"
)

const (
	// maxDigests is how many of its own digests a replica keeps, so that it still has the ones that slower members report.
	maxDigests = 8
	// divergencePauseFactor is how many times DropAfter passes before the head notifies a second member that its state differs, or a
	// first one after a change of the view: the member that stopped before must count as gone by then.
	divergencePauseFactor = 2
)

// ErrStateDiverged reports that this replica's state differs from what the same entries produced at other replicas. By the time it is
// returned, the disk is marked as unfit, unless it refuses writes.
var ErrStateDiverged = errors.New("state differs from the chain's")

// StateError reports where a state was found to differ. It wraps ErrStateDiverged.
type StateError struct {
	Index       uint64 // the digest was taken after this entry
	Own, Agreed uint64
}

func (e *StateError) Error() string {
	return fmt.Sprintf("%v: digest %016x at %d, agreed is %016x", ErrStateDiverged, e.Own, e.Index, e.Agreed)
}

func (e *StateError) Unwrap() error { return ErrStateDiverged }

// audit holds the digests of a replica's own state, and the divergence if one was found.
type audit struct {
	own        []view.Digest // of the last few indexes, in order; never changed in place
	divergence *StateError
	marked     bool   // the record that marks the disk as unfit has been handed out
	token      uint64 // of that record
}

// findDigest returns the digest that was taken at the same index and in the same format as like.
func findDigest(digests []view.Digest, like view.Digest) (view.Digest, bool) {
	at := slices.IndexFunc(digests, func(d view.Digest) bool { return d.Index == like.Index && d.Format == like.Format })
	if at < 0 {
		return view.Digest{}, false
	}
	return digests[at], true
}

// onAudited takes the digest of the own state.
func (r *Replica) onAudited(now time.Duration, digest view.Digest) {
	kept := r.audit.own[max(0, len(r.audit.own)+1-maxDigests):]
	r.audit.own = append(slices.Clone(kept), digest)
	r.checkDigests(now)
}

// checkDigests compares, at the head, the states that the members of the chain got from the same entries. Members whose state differs are
// notified one at a time, as each of them loses its disk by it.
func (r *Replica) checkDigests(now time.Duration) {
	if !r.leading() || len(r.view.Chain) < 2 {
		return
	}
	for _, own := range r.audit.own {
		agreed, ok := r.agreedDigest(own)
		if !ok {
			continue
		}
		for _, member := range r.view.Chain {
			if reported, ok := r.digestOf(member.ID, own); ok && reported.Sum != agreed.Sum {
				r.reportDivergence(now, member, agreed)
				return
			}
		}
	}
}

// digestOf returns the digest that a member of the chain has reported.
func (r *Replica) digestOf(id view.ReplicaID, like view.Digest) (view.Digest, bool) {
	if id == r.self.ID {
		return findDigest(r.audit.own, like)
	}
	if known := r.peers[id]; known != nil {
		return findDigest(known.digests, like)
	}
	return view.Digest{}, false
}

// agreedDigest returns the digest that more than half of the chain have; if all have reported and there is no such majority, the head's
// own.
func (r *Replica) agreedDigest(own view.Digest) (view.Digest, bool) {
	count := map[uint64]int{}
	reported := 0
	for _, member := range r.view.Chain {
		digest, ok := r.digestOf(member.ID, own)
		if !ok {
			continue
		}
		reported++
		if count[digest.Sum]++; count[digest.Sum] > len(r.view.Chain)/2 {
			return digest, true
		}
	}
	return own, reported == len(r.view.Chain)
}

// reportDivergence notifies a member that its state differs; the head itself stops at once.
func (r *Replica) reportDivergence(now time.Duration, member view.Member, agreed view.Digest) {
	tooSoon := r.head.diverged != member.ID && now-r.head.divergenceReportedAt < divergencePauseFactor*r.cfg.DropAfter
	if tooSoon || !r.canSpare(now, member.ID) {
		return
	}
	r.head.diverged, r.head.divergenceReportedAt = member.ID, now
	if member.ID == r.self.ID {
		r.stopIfDiverged(agreed)
		return
	}
	r.send(member, &Message{Differs: &agreed})
}

// canSpare reports whether the chain can do without a member: f+1 others are in it, and a majority of the voters is responsive without
// it.
func (r *Replica) canSpare(now time.Duration, id view.ReplicaID) bool {
	if len(r.view.Chain)-1 <= r.cfg.Tolerance {
		return false
	}
	alive := 0
	for _, voter := range r.view.Voters {
		known := r.peers[voter.ID]
		if voter.ID != id && (voter.ID == r.self.ID || known != nil && known.ackedHeartbeat != 0 && now-known.ackedAt <= r.cfg.DropAfter) {
			alive++
		}
	}
	return alive >= r.view.Majority()
}

// onDiffers handles a notice of the head that the state here differs from the agreed one.
func (r *Replica) onDiffers(from view.Member, agreed view.Digest) {
	if from.ID == r.view.Head().ID {
		r.stopIfDiverged(agreed)
	}
}

// stopIfDiverged stops this replica if its own digest isn't the agreed one: from then on it doesn't lead, answer reads or send messages.
func (r *Replica) stopIfDiverged(agreed view.Digest) {
	own, ok := findDigest(r.audit.own, agreed)
	if !ok || own.Sum == agreed.Sum {
		return
	}
	r.audit.divergence = &StateError{Index: own.Index, Own: own.Sum, Agreed: agreed.Sum}
	if r.head.announced {
		r.head.announced = false
		r.out.Events = append(r.out.Events, LostHead{Epoch: r.head.announcedEpoch, Cause: Cause{Kind: CauseState}})
	}
	r.entered = false // so that this is neither head nor tail
	r.chain.LeaveView()
}

// stepStopped handles the inputs of a replica whose state differs: only the report that its disk is marked counts, or that the disk has
// failed.
func (r *Replica) stepStopped(now time.Duration, in Input) Output {
	switch in := in.(type) {
	case Synced:
		r.syncedToken = max(r.syncedToken, in.Token)
	case DiskFailed:
		r.diskFailed = true
	}
	return r.finishStopped(now)
}

// finishStopped hands out the record that marks the disk and, once that is on disk, the fault. With a failed disk it hands out the fault
// at once.
func (r *Replica) finishStopped(now time.Duration) Output {
	out := Output{Events: r.out.Events, Wake: now + maxWakeInterval}
	r.out = Output{}
	switch {
	case r.diskFailed:
		out.Fault = r.audit.divergence
	case !r.audit.marked:
		r.lastToken++
		r.audit.marked, r.audit.token = true, r.lastToken
		out.Persist, out.Token = []Record{encodeUnfit(r.audit.divergence)}, r.lastToken
	case r.syncedToken >= r.audit.token:
		out.Fault = r.audit.divergence
	}
	return out
}
