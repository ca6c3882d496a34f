package chain

import (
	"fmt"
	"hash/crc64"
	"time"
)

// maxPreallocatedBytes bounds the memory that is allocated up front for the size that a snapshot's first chunk announces, in bytes.
const maxPreallocatedBytes = 64 << 20

var checksumTable = crc64.MakeTable(crc64.ECMA)

// snapshotChecksum returns the checksum of a snapshot's data. It is never 0, because 0 stands for no checksum.
func snapshotChecksum(data []byte) uint64 { return max(crc64.Checksum(data, checksumTable), 1) }

// incomingSnapshot is a partly received snapshot. Its data is a prefix of the whole; chunks of another snapshot are never appended to it.
type incomingSnapshot struct {
	index  uint64
	epoch  uint64
	total  int
	sum    uint64
	data   []byte
	active bool
}

// hasData reports whether any data has been received.
func (i *incomingSnapshot) hasData() bool { return len(i.data) > 0 }

// matches reports whether a chunk belongs to this snapshot.
func (i *incomingSnapshot) matches(m *Chunk) bool {
	return i.active && i.index == m.Index && i.epoch == m.Epoch && i.total == m.Total && i.sum == m.Sum
}

// supersedes reports whether a chunk belongs to an older snapshot than this one.
func (i *incomingSnapshot) supersedes(m *Chunk) bool { return i.active && m.Index < i.index }

// addChunk appends a chunk that starts where the received data ends, and ignores any other.
func (i *incomingSnapshot) addChunk(m *Chunk) {
	if m.Offset == len(i.data) && len(m.Data) <= i.total-m.Offset {
		i.data = append(i.data, m.Data...)
	}
}

// complete reports whether all data has been received.
func (i *incomingSnapshot) complete() bool { return len(i.data) == i.total }

// checksumValid reports whether the data matches the checksum, or no checksum was given.
func (i *incomingSnapshot) checksumValid() bool {
	return i.sum == 0 || i.sum == snapshotChecksum(i.data)
}

// onChunk handles a part of a snapshot. The head may start another snapshot in the same session if it has removed this learner
// meanwhile; the data received of the earlier snapshot is then dropped. If the session has already opened with entries, the head acted on
// a late or duplicated Hello that understates this log; a new session tells the head what this replica holds.
func (c *Chain) onChunk(now time.Duration, m *Chunk) {
	if m.Session != c.session || !c.sessionOpen && c.incoming.supersedes(m) {
		return
	}
	if c.sessionOpen {
		c.restartSession(now)
		return
	}
	if !c.incoming.matches(m) {
		c.incoming = incomingSnapshot{index: m.Index, epoch: m.Epoch, total: m.Total, sum: m.Sum, active: true,
			data: make([]byte, 0, min(max(m.Total, 0), maxPreallocatedBytes))}
	}
	c.incoming.addChunk(m)
	c.helloTimerStart = now
	c.send(c.role.Upstream, &Body{ChunkAck: &ChunkAck{Session: m.Session, Index: m.Index, Offset: len(c.incoming.data)}})
	if c.incoming.complete() {
		c.finishSnapshot(now)
	}
}

// finishSnapshot installs a completely received snapshot, or starts a new session if its checksum is wrong.
func (c *Chain) finishSnapshot(now time.Duration) {
	received := c.incoming
	if !received.checksumValid() {
		c.startSession(now)
		return
	}
	c.installSnapshot(now, Snapshot{Index: received.index, Epoch: received.epoch, Data: received.data})
}

// installSnapshot replaces the log and the state machine, then starts a new session to continue from the snapshot. It reports ErrDiverged
// instead if the snapshot is older than the commit index.
func (c *Chain) installSnapshot(now time.Duration, snapshot Snapshot) {
	if snapshot.Index < c.committed {
		c.incoming = incomingSnapshot{}
		c.env.Fail(fmt.Errorf("snapshot at index %d below committed index %d: %w", snapshot.Index, c.committed, ErrDiverged))
		return
	}
	c.log.Reset(snapshot.Index, snapshot.Epoch)
	c.capSynced(0)
	c.env.StoreSnapshot(snapshot)
	c.committed, c.delivered = snapshot.Index, snapshot.Index
	c.env.Install(snapshot)
	c.startSession(now)
}
