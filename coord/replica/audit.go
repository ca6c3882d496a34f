package replica

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gaugeslip/coord/view"
)

const (
	// digestsKept is how many digests a replica remembers of itself, so that slower members find the same ones.
	digestsKept = 8
	// condemnPause is how many times DropAfter passes before a second member is told to stop, or one after a change of the view: the first
	// must count as gone by then.
	condemnPause = 2
)

// ErrStateDiverged says that this replica's state isn't what the same entries came to at others. Its disk is marked as unfit by then.
var ErrStateDiverged = errors.New("state differs from the chain's")

// StateError tells where a state was found to differ. It wraps ErrStateDiverged.
type StateError struct {
	Index       uint64 // the digest was taken after this entry
	Own, Agreed uint64
}

func (e *StateError) Error() string {
	return fmt.Sprintf("%v: digest %016x at %d, agreed is %016x", ErrStateDiverged, e.Own, e.Index, e.Agreed)
}

func (e *StateError) Unwrap() error { return ErrStateDiverged }

// audit is what a replica knows of its own state's digests.
type audit struct {
	own    []view.Digest // of the last few indexes, in order; never changed in place
	fault  *StateError
	marked bool   // the record that the disk is unfit has been handed out
	token  uint64 // of that record
}

// find gives the digest taken at the same index in the same format.
func find(digests []view.Digest, like view.Digest) (view.Digest, bool) {
	at := slices.IndexFunc(digests, func(d view.Digest) bool { return d.Index == like.Index && d.Format == like.Format })
	if at < 0 {
		return view.Digest{}, false
	}
	return digests[at], true
}

// onAudited takes the digest of the own state.
func (r *Replica) onAudited(now time.Duration, digest view.Digest) {
	kept := r.audit.own[max(0, len(r.audit.own)+1-digestsKept):]
	r.audit.own = append(slices.Clone(kept), digest)
	r.judge(now)
}

// judge compares what the members of the chain made of the same entries, at the head. Members that differ are told so one at a time, as
// each loses its disk by it.
func (r *Replica) judge(now time.Duration) {
	if !r.leading() || len(r.view.Chain) < 2 {
		return
	}
	for _, own := range r.audit.own {
		agreed, ok := r.agreed(own)
		if !ok {
			continue
		}
		for _, member := range r.view.Chain {
			if told, ok := r.digestOf(member.ID, own); ok && told.Sum != agreed.Sum {
				r.condemn(now, member, agreed)
				return
			}
		}
	}
}

// digestOf gives what a member of the chain has told.
func (r *Replica) digestOf(id view.ReplicaID, like view.Digest) (view.Digest, bool) {
	if id == r.self.ID {
		return find(r.audit.own, like)
	}
	if known := r.peers[id]; known != nil {
		return find(known.digests, like)
	}
	return view.Digest{}, false
}

// agreed is what more than half of the chain have; where all have told and no such half is, what the head has.
func (r *Replica) agreed(own view.Digest) (view.Digest, bool) {
	count := map[uint64]int{}
	told := 0
	for _, member := range r.view.Chain {
		digest, ok := r.digestOf(member.ID, own)
		if !ok {
			continue
		}
		told++
		if count[digest.Sum]++; count[digest.Sum] > len(r.view.Chain)/2 {
			return digest, true
		}
	}
	return own, told == len(r.view.Chain)
}

// condemn tells a member that its state differs; the head itself stops at once.
func (r *Replica) condemn(now time.Duration, member view.Member, agreed view.Digest) {
	another := r.head.condemned != member.ID && now-r.head.condemnedAt < condemnPause*r.cfg.DropAfter
	if another || !r.spares(now, member.ID) {
		return
	}
	r.head.condemned, r.head.condemnedAt = member.ID, now
	if member.ID == r.self.ID {
		r.compare(agreed)
		return
	}
	r.send(member, &Message{Differs: &agreed})
}

// spares tells whether a member of the chain can be done without: f+1 others are in it, and a majority of the voters is there.
func (r *Replica) spares(now time.Duration, id view.ReplicaID) bool {
	if len(r.view.Chain)-1 <= r.cfg.Tolerance {
		return false
	}
	alive := 0
	for _, voter := range r.view.Voters {
		known := r.peers[voter.ID]
		if voter.ID != id && (voter.ID == r.self.ID || known != nil && known.echo != 0 && now-known.ackedAt <= r.cfg.DropAfter) {
			alive++
		}
	}
	return alive >= r.view.Majority()
}

// onDiffers takes the head's word that the state here differs from what is agreed.
func (r *Replica) onDiffers(from view.Member, agreed view.Digest) {
	if from.ID == r.view.Head().ID {
		r.compare(agreed)
	}
}

// compare stops this replica where its own digest isn't the agreed one: from now on it neither leads, answers reads nor says anything.
func (r *Replica) compare(agreed view.Digest) {
	own, ok := find(r.audit.own, agreed)
	if !ok || own.Sum == agreed.Sum {
		return
	}
	r.audit.fault = &StateError{Index: own.Index, Own: own.Sum, Agreed: agreed.Sum}
	if r.head.announced {
		r.head.announced = false
		r.out.Events = append(r.out.Events, LostHead{Epoch: r.head.announcedE, Cause: Cause{Kind: CauseState}})
	}
	r.entered = false // so that this is neither head nor tail
	r.chain.LeaveView()
}

// ending takes the inputs of a replica whose state differs: only the word that its disk is marked counts.
func (r *Replica) ending(now time.Duration, in Input) Output {
	switch in := in.(type) {
	case Synced:
		r.synced = max(r.synced, in.Token)
	case DiskFailed:
		r.broken = true
	}
	return r.end(now)
}

// end hands out the mark for the disk and, once that is there, the fault.
func (r *Replica) end(now time.Duration) Output {
	out := Output{Events: r.out.Events, Wake: now + wakeAtLeastEvery}
	r.out = Output{}
	switch {
	case r.broken:
		out.Fault = r.audit.fault
	case !r.audit.marked:
		r.token++
		r.audit.marked, r.audit.token = true, r.token
		out.Persist, out.Token = []Record{encodeUnfit(r.audit.fault)}, r.token
	case r.synced >= r.audit.token:
		out.Fault = r.audit.fault
	}
	return out
}
