package chain

import (
	"time"

	"gaugeslip/coord/view"
)

// Bounds of what is sent and not yet acknowledged.
const (
	batchBytes     = 256 << 10
	windowBytes    = 4 << 20
	chunkBytes     = 256 << 10
	chunksInFlight = 2
)

// link is the sending side towards a successor or a learner.
type link struct {
	peer           view.Member
	session        uint64 // 0: none
	pendingHello   *Hello // came before this replica was in step itself
	next           uint64
	match          uint64 // the peer's log was found to be the same up to here
	acked          uint64
	inFlightBytes  int // bytes not yet acknowledged
	batches        []batch
	sentCommit     uint64
	lastActivityAt time.Duration // last sending or acknowledgement
	heardAt        time.Duration
	transfer       *transfer
	needsSnapshot  bool // a snapshot
}

type batch struct {
	last  uint64
	bytes int
}

// transfer is a snapshot on its way.
type transfer struct {
	snapshot       *Snapshot
	sum            uint64
	acked          int
	sent           int
	lastProgressAt time.Duration
}

// hasUnacknowledged tells whether the peer has something to acknowledge.
func (l *link) hasUnacknowledged() bool { return l.session != 0 && l.next > l.acked+1 }

// coveredIndex is up to where the peer has the log, or will have it with the snapshot that is on its way.
func (l *link) coveredIndex() uint64 {
	if l.transfer != nil {
		return l.transfer.snapshot.Index
	}
	return max(l.match, l.acked)
}

// open starts a session from the match on.
func (l *link) open(now time.Duration, hello *Hello, match uint64) {
	l.session = hello.Session
	l.next, l.match = match+1, match
	l.acked = max(l.acked, min(hello.Acked, match))
	l.inFlightBytes = 0
	l.batches = l.batches[:0]
	l.sentCommit = 0
	l.lastActivityAt, l.heardAt = now, now
	l.transfer, l.needsSnapshot = nil, false
}

// invalidateAfter ends the session because all after index has been dropped here: the peer will drop it too, so that what it
// had acknowledged of that doesn't count any more.
func (l *link) invalidateAfter(index uint64) {
	l.close()
	l.acked = min(l.acked, index)
}

// close ends the session.
func (l *link) close() {
	l.session = 0
	l.inFlightBytes = 0
	l.batches = l.batches[:0]
	l.transfer = nil
}

// recordBatch notes a batch.
func (l *link) recordBatch(now time.Duration, last uint64, bytes int) {
	l.next = last + 1
	l.inFlightBytes += bytes
	l.batches = append(l.batches, batch{last, bytes})
	l.lastActivityAt = now
}

// handleAck notes an acknowledgement.
func (l *link) handleAck(now time.Duration, m *Ack) {
	l.heardAt, l.lastActivityAt = now, now
	l.acked = max(l.acked, min(m.Index, l.next-1))
	stored := max(m.Index, m.Stored)
	done := 0
	for done < len(l.batches) && l.batches[done].last <= stored {
		l.inFlightBytes -= l.batches[done].bytes
		done++
	}
	l.batches = append(l.batches[:0], l.batches[done:]...)
}

// stale tells whether a Hello was sent before the one of the present session by the same life.
func (l *link) stale(session uint64) bool {
	return session>>sessionBits == l.session>>sessionBits && session < l.session
}
