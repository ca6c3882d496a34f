package chain

import (
	"time"

	"gaugeslip/coord/view"
)

// Limits on the data that is sent but not yet acknowledged.
const (
	batchBytes     = 256 << 10
	windowBytes    = 4 << 20
	chunkBytes     = 256 << 10
	chunksInFlight = 2
)

// link is the sending side of the connection to a successor or a learner.
type link struct {
	peer           view.Member
	session        uint64 // 0: none
	pendingHello   *Hello // arrived before this replica was in step; answered once it is
	next           uint64 // index of the next entry to send
	match          uint64 // last index up to which the peer's log was found to be the same
	acked          uint64 // last index known to be on disk at the peer and at all its successors
	inFlightBytes  int    // sent, but not yet reported as stored by the peer
	batches        []batch
	sentCommit     uint64        // commit index sent last
	lastActivityAt time.Duration // last sending of entries or probes, or last acknowledgement
	heardAt        time.Duration // when the peer was last known to be alive
	transfer       *transfer
	needsSnapshot  bool // the peer needs a snapshot, and none has been offered yet
}

// batch is a sent Append: the index of its last entry, and its size.
type batch struct {
	last  uint64
	bytes int
}

// transfer is a snapshot that is being sent. The offsets acked and sent are in bytes.
type transfer struct {
	snapshot       *Snapshot
	sum            uint64
	acked          int
	sent           int
	lastProgressAt time.Duration
}

// hasUnacknowledged reports whether entries were sent that the peer has not acknowledged.
func (l *link) hasUnacknowledged() bool { return l.session != 0 && l.next > l.acked+1 }

// coveredIndex returns the index up to which the peer holds the log, or will hold it once the current transfer is complete.
func (l *link) coveredIndex() uint64 {
	if l.transfer != nil {
		return l.transfer.snapshot.Index
	}
	return max(l.match, l.acked)
}

// open starts the session that hello asks for. Both logs are the same up to match, and entries are sent from the next one on.
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

// invalidateAfter ends the session because all entries after index have been dropped here. The peer will drop them too, so its
// acknowledgements of them no longer count.
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

// recordBatch records that a batch was sent.
func (l *link) recordBatch(now time.Duration, last uint64, bytes int) {
	l.next = last + 1
	l.inFlightBytes += bytes
	l.batches = append(l.batches, batch{last, bytes})
	l.lastActivityAt = now
}

// handleAck processes an acknowledgement. Only entries that were sent can be acknowledged.
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

// stale reports whether session is an earlier session of the same incarnation of the peer than the current one.
func (l *link) stale(session uint64) bool {
	return session>>sessionBits == l.session>>sessionBits && session < l.session
}
