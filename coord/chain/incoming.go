package chain

import (
	"fmt"
	"hash/crc64"
	"time"
)

// maxPreallocatedBytes bounds the memory that is set aside at the word of a snapshot's first chunk, in bytes.
const maxPreallocatedBytes = 64 << 20

var checksumTable = crc64.MakeTable(crc64.ECMA)

// snapshotChecksum is the checksum of a snapshot's data; it is never 0, which stands for none.
func snapshotChecksum(data []byte) uint64 { return max(crc64.Checksum(data, checksumTable), 1) }

// incomingSnapshot is a snapshot of which parts have come, from its start on. Chunks of another snapshot are never put behind them.
type incomingSnapshot struct {
	index  uint64
	epoch  uint64
	total  int
	sum    uint64
	data   []byte
	active bool
}

// hasData tells whether anything has come.
func (i *incomingSnapshot) hasData() bool { return len(i.data) > 0 }

// matches tells whether a chunk belongs to this snapshot.
func (i *incomingSnapshot) matches(m *Chunk) bool {
	return i.active && i.index == m.Index && i.epoch == m.Epoch && i.total == m.Total && i.sum == m.Sum
}

// supersedes tells whether a chunk is of a snapshot before this one, and so has been overtaken.
func (i *incomingSnapshot) supersedes(m *Chunk) bool { return i.active && m.Index < i.index }

// addChunk takes a chunk that continues what has come; others change nothing.
func (i *incomingSnapshot) addChunk(m *Chunk) {
	if m.Offset == len(i.data) && len(m.Data) <= i.total-m.Offset {
		i.data = append(i.data, m.Data...)
	}
}

// complete tells whether all has come.
func (i *incomingSnapshot) complete() bool { return len(i.data) == i.total }

// checksumValid tells whether what has come is what was sent.
func (i *incomingSnapshot) checksumValid() bool {
	return i.sum == 0 || i.sum == snapshotChecksum(i.data)
}

// onChunk takes a part of a snapshot. The head may begin with another one in the same session, when it has forgotten this replica
// meanwhile: then what has come of the one before is dropped. Where entries had begun to come in this session, a Hello that was late or
// doubled has told the head too little: another session tells it anew.
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

// finishSnapshot installs a snapshot of which all has come, or asks anew where it isn't what was sent.
func (c *Chain) finishSnapshot(now time.Duration) {
	whole := c.incoming
	if !whole.checksumValid() {
		c.startSession(now)
		return
	}
	c.installSnapshot(now, Snapshot{Index: whole.index, Epoch: whole.epoch, Data: whole.data})
}

// installSnapshot replaces log and state machine, then opens a new session to go on from there.
func (c *Chain) installSnapshot(now time.Duration, snapshot Snapshot) {
	if snapshot.Index < c.committed {
		c.incoming = incomingSnapshot{}
		c.env.Fail(fmt.Errorf("snapshot at %d below committed %d: %w", snapshot.Index, c.committed, ErrDiverged))
		return
	}
	c.log.Reset(snapshot.Index, snapshot.Epoch)
	c.capSynced(0)
	c.env.StoreSnapshot(snapshot)
	c.committed, c.delivered = snapshot.Index, snapshot.Index
	c.env.Install(snapshot)
	c.startSession(now)
}
