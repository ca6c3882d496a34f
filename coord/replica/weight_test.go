package replica

import (
	"time"
)

// When the control plane rewrites its log: at this length, and again at each multiple of its rewritten length.
const (
	leastCompaction  = 1 << 20
	compactionGrowth = 3
)

// weight is what a state of real size costs. A nil weight costs nothing.
type weight struct {
	bytes     int           // of a snapshot, as it is held in the simulation
	scale     int           // each of these bytes costs as much as so many
	make      time.Duration // a MB, of the giver's processor
	restore   time.Duration // a MB, of the taker's processor
	write     time.Duration // a MB, of the disk
	perSecond float64       // bytes that leave a machine
	free      map[string]time.Duration
	arrival   map[[2]string]time.Duration
}

// newWeight has the figures that BenchmarkSnapshot, BenchmarkRestore and BenchmarkLargeRecord measured, and a network of 1,000 Mbit/s.
func newWeight(bytes, scale int) *weight {
	return &weight{bytes: bytes / scale, scale: scale, make: 7300 * time.Microsecond, restore: 28 * time.Millisecond, write: 5200 * time.Microsecond,
		perSecond: 125e6, free: make(map[string]time.Duration), arrival: make(map[[2]string]time.Duration)}
}

func costOf(bytes int, ofMB time.Duration) time.Duration {
	return time.Duration(float64(bytes) / 1e6 * float64(ofMB))
}

func (w *weight) making() time.Duration {
	if w == nil {
		return 0
	}
	return costOf(w.bytes*w.scale, w.make)
}

func (w *weight) restoring(bytes int) time.Duration {
	if w == nil {
		return 0
	}
	return costOf(bytes*w.scale, w.restore)
}

func (w *weight) writing(writes []diskWrite) time.Duration {
	if w == nil {
		return 0
	}
	bytes := 0
	for i := range writes {
		for j := range writes[i].records {
			size := len(writes[i].records[j].Data)
			if size > w.bytes {
				size *= w.scale
			}
			bytes += size
		}
	}
	return costOf(bytes, w.write)
}

// transfer adds to a delay what the sender's line takes, and keeps the order of messages between two machines.
func (w *weight) transfer(now time.Duration, from string, envelope Envelope, delay time.Duration) time.Duration {
	if w == nil {
		return delay
	}
	bytes := 300
	if body := envelope.Message.Chain; body != nil {
		if body.Chunk != nil {
			bytes += len(body.Chunk.Data) * w.scale
		}
		if body.Append != nil {
			for i := range body.Append.Entries {
				bytes += len(body.Append.Entries[i].Data) + 30
			}
		}
	}
	sent := max(now, w.free[from]) + time.Duration(float64(bytes)/w.perSecond*float64(time.Second))
	w.free[from] = sent
	link := [2]string{from, envelope.To}
	arrival := max(sent+delay, w.arrival[link]+time.Microsecond)
	w.arrival[link] = arrival
	return arrival - now
}

// captureSlice is how long one slice of a snapshot takes.
const captureSlice = 2 * time.Millisecond

// capture makes a snapshot of this moment in slices, between which the process does other work, and hands it to all that want one
// meanwhile.
func (m *machine) capture(taker func(index uint64, snapshot []byte)) {
	m.takers = append(m.takers, taker)
	if len(m.takers) > 1 {
		return
	}
	life, index, data := m.life, m.applied, m.snapshot()
	left := m.world.weight.making()
	var slice func()
	slice = func() {
		switch {
		case m.life != life:
		case m.frozen > m.world.now:
			m.world.after(m.frozen-m.world.now, slice)
		case left > 0:
			left -= captureSlice
			m.freeze(captureSlice)
			m.world.after(captureSlice+100*time.Microsecond, slice)
		default:
			takers := m.takers
			m.takers = nil
			for _, taker := range takers {
				taker(index, data)
			}
		}
	}
	slice()
}
