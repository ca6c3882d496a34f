package replica

import (
	"time"
)

// The control plane compacts its log at this length, and then at this multiple of the compacted length.
const (
	minCompactionBytes = 1 << 20
	compactionGrowth   = 3
)

// stateCosts is the cost of a state of realistic size. A nil stateCosts costs nothing.
type stateCosts struct {
	bytes          int           // of a snapshot in the simulation
	scale          int           // each of these bytes costs as much as this many
	makePerMB      time.Duration // processor time of the sender
	restorePerMB   time.Duration // processor time of the receiver
	writePerMB     time.Duration // disk time
	bytesPerSecond float64       // that a machine can send
	lineFreeAt     map[string]time.Duration
	lastArrival    map[[2]string]time.Duration
}

// newStateCosts uses the figures that BenchmarkSnapshot, BenchmarkRestore and BenchmarkLargeRecord measured, and a network of 1,000
// Mbit/s.
func newStateCosts(bytes, scale int) *stateCosts {
	return &stateCosts{bytes: bytes / scale, scale: scale, makePerMB: 7300 * time.Microsecond,
		restorePerMB: 28 * time.Millisecond, writePerMB: 5200 * time.Microsecond, bytesPerSecond: 125e6,
		lineFreeAt: make(map[string]time.Duration), lastArrival: make(map[[2]string]time.Duration)}
}

func timeFor(bytes int, perMB time.Duration) time.Duration {
	return time.Duration(float64(bytes) / 1e6 * float64(perMB))
}

func (c *stateCosts) makeTime() time.Duration {
	if c == nil {
		return 0
	}
	return timeFor(c.bytes*c.scale, c.makePerMB)
}

func (c *stateCosts) restoreTime(bytes int) time.Duration {
	if c == nil {
		return 0
	}
	return timeFor(bytes*c.scale, c.restorePerMB)
}

func (c *stateCosts) writeTime(writes []diskWrite) time.Duration {
	if c == nil {
		return 0
	}
	bytes := 0
	for i := range writes {
		for j := range writes[i].records {
			size := len(writes[i].records[j].Data)
			if size > c.bytes {
				size *= c.scale
			}
			bytes += size
		}
	}
	return timeFor(bytes, c.writePerMB)
}

// transferTime adds the time on the sender's line to a delay, and keeps the messages between two machines in order.
func (c *stateCosts) transferTime(now time.Duration, from string, envelope Envelope, delay time.Duration) time.Duration {
	if c == nil {
		return delay
	}
	bytes := 300
	if body := envelope.Message.Chain; body != nil {
		if body.Chunk != nil {
			bytes += len(body.Chunk.Data) * c.scale
		}
		if body.Append != nil {
			for i := range body.Append.Entries {
				bytes += len(body.Append.Entries[i].Data) + 30
			}
		}
	}
	sent := max(now, c.lineFreeAt[from]) + time.Duration(float64(bytes)/c.bytesPerSecond*float64(time.Second))
	c.lineFreeAt[from] = sent
	link := [2]string{from, envelope.To}
	arrival := max(sent+delay, c.lastArrival[link]+time.Microsecond)
	c.lastArrival[link] = arrival
	return arrival - now
}

// captureSlice is the duration of one slice of a snapshot.
const captureSlice = 2 * time.Millisecond

// captureSnapshot takes a snapshot of the present state in slices, between which the process does other work, and hands it to everyone
// who asks for one meanwhile.
func (m *machine) captureSnapshot(taker func(index uint64, snapshot []byte)) {
	m.snapshotWaiters = append(m.snapshotWaiters, taker)
	if len(m.snapshotWaiters) > 1 {
		return
	}
	life, index, data := m.incarnation, m.applied, m.snapshot()
	left := m.world.costs.makeTime()
	var slice func()
	slice = func() {
		switch {
		case m.incarnation != life:
		case m.frozenUntil > m.world.now:
			m.world.after(m.frozenUntil-m.world.now, slice)
		case left > 0:
			left -= captureSlice
			m.freeze(captureSlice)
			m.world.after(captureSlice+100*time.Microsecond, slice)
		default:
			takers := m.snapshotWaiters
			m.snapshotWaiters = nil
			for _, taker := range takers {
				taker(index, data)
			}
		}
	}
	slice()
}
