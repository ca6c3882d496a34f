package chain

import (
	"fmt"
	"hash/crc64"
	"time"
)

// mostReserved bounds the memory that is set aside at the word of a snapshot's first chunk, in bytes.
const mostReserved = 64 << 20

var sumTable = crc64.MakeTable(crc64.ECMA)

// snapshotSum is the checksum of a snapshot's data; it is never 0, which stands for none.
func snapshotSum(data []byte) uint64 { return max(crc64.Checksum(data, sumTable), 1) }

// incoming is a snapshot of which parts have come, from its start on. Chunks of another snapshot are never put behind them.
type incoming struct {
	index uint64
	epoch uint64
	total int
	sum   uint64
	data  []byte
	known bool
}

// begun tells whether anything has come.
func (i *incoming) begun() bool { return len(i.data) > 0 }

// of tells whether a chunk belongs to this snapshot.
func (i *incoming) of(m *Chunk) bool {
	return i.known && i.index == m.Index && i.epoch == m.Epoch && i.total == m.Total && i.sum == m.Sum
}

// older tells whether a chunk is of a snapshot before this one, and so has been overtaken.
func (i *incoming) older(m *Chunk) bool { return i.known && m.Index < i.index }

// add takes a chunk that continues what has come; others change nothing.
func (i *incoming) add(m *Chunk) {
	if m.Offset == len(i.data) && len(m.Data) <= i.total-m.Offset {
		i.data = append(i.data, m.Data...)
	}
}

// whole tells whether all has come.
func (i *incoming) whole() bool { return len(i.data) == i.total }

// sound tells whether what has come is what was sent.
func (i *incoming) sound() bool { return i.sum == 0 || i.sum == snapshotSum(i.data) }

// onChunk takes a part of a snapshot. The head may begin with another one in the same session, when it has forgotten this replica
// meanwhile: then what has come of the one before is dropped. Where entries had begun to come in this session, a Hello that was late or
// doubled has told the head too little: another session tells it anew.
func (c *Chain) onChunk(now time.Duration, m *Chunk) {
	if m.Session != c.session || !c.opened && c.incoming.older(m) {
		return
	}
	if c.opened {
		c.rehello(now)
		return
	}
	if !c.incoming.of(m) {
		c.incoming = incoming{index: m.Index, epoch: m.Epoch, total: m.Total, sum: m.Sum, known: true,
			data: make([]byte, 0, min(max(m.Total, 0), mostReserved))}
	}
	c.incoming.add(m)
	c.helloAt = now
	c.send(c.role.Upstream, &Body{ChunkAck: &ChunkAck{Session: m.Session, Index: m.Index, Offset: len(c.incoming.data)}})
	if c.incoming.whole() {
		c.received(now)
	}
}

// received installs a snapshot of which all has come, or asks anew where it isn't what was sent.
func (c *Chain) received(now time.Duration) {
	whole := c.incoming
	if !whole.sound() {
		c.hello(now)
		return
	}
	c.install(now, Snapshot{Index: whole.index, Epoch: whole.epoch, Data: whole.data})
}

// install replaces log and state machine, then opens a new session to go on from there.
func (c *Chain) install(now time.Duration, snapshot Snapshot) {
	if snapshot.Index < c.committed {
		c.incoming = incoming{}
		c.env.Fail(fmt.Errorf("snapshot at %d below committed %d: %w", snapshot.Index, c.committed, ErrDiverged))
		return
	}
	c.log.Reset(snapshot.Index, snapshot.Epoch)
	c.capSynced(0)
	c.env.StoreSnapshot(snapshot)
	c.committed, c.delivered = snapshot.Index, snapshot.Index
	c.env.Install(snapshot)
	c.hello(now)
}
