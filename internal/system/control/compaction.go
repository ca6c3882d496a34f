package control

import "time"

// minCompactionSize is the length at which the log is rewritten, and again at each multiple of its compacted length.
const (
	minCompactionSize = 1 << 20
	compactionGrowth  = 3
)

// jitterThreshold gives a length up to a half longer, as a replica's seed has it. Nothing is synced while a log is rewritten, and the logs of all replicas
// grow alike: they should not be rewritten all at once.
func jitterThreshold(length int64, seed uint64) int64 {
	const steps = 64
	return length + length/2*int64(seed%steps)/steps
}

// compactIfDue rewrites the log once it has grown long.
func (e *engine) compactIfDue() {
	if e.rewriting || e.disk.logSize() < e.compactAt {
		return
	}
	e.rewriting = true
	e.startCapture(captureForLog)
}

// rewriteLog replaces the log by a snapshot and what follows it.
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
