package control

import "time"

// minCompactionSize is the log length in bytes that triggers the first compaction. Later ones are triggered at compactionGrowth times the
// compacted length.
const (
	minCompactionSize = 1 << 20
	compactionGrowth  = 3
)

// jitterThreshold increases a length by up to a half, depending on the replica's seed. No entry is synced during a compaction, and the logs
// of all replicas grow alike: the jitter keeps the replicas from compacting at the same time.
func jitterThreshold(length int64, seed uint64) int64 {
	const steps = 64
	return length + length/2*int64(seed%steps)/steps
}

// compactIfDue starts a compaction once the log has reached its threshold.
func (e *engine) compactIfDue() {
	if e.rewriting || e.disk.logSize() < e.compactAt {
		return
	}
	e.rewriting = true
	e.startCapture(captureForLog)
}

// rewriteLog replaces the log by a snapshot and the entries after it.
func (e *engine) rewriteLog(index uint64, snapshot []byte) {
	records := e.replica.Compact(snapshot, index)
	if records == nil {
		e.rewriting = false
		return
	}
	began := e.options.now()
	e.disk.submit(diskJob{records: toWALRecords(records), rewrite: true, done: func(err error) {
		e.options.post(func() { e.logCompacted(err, e.options.now()-began) })
	}})
}

func (e *engine) logCompacted(err error, took time.Duration) {
	if e.closed {
		return
	}
	e.rewriting = false
	if err != nil {
		e.options.diskFailed(err)
		return
	}
	e.compactAt = jitterThreshold(max(minCompactionSize, compactionGrowth*e.disk.logSize()), e.options.config.Seed)
	e.options.logRewritten(e.disk.logSize(), took)
}
