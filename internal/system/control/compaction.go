package control

import "time"

// leastCompaction is the length at which the log is rewritten, and again at each multiple of its compacted length.
const (
	leastCompaction  = 1 << 20
	compactionGrowth = 3
)

// apart gives a length up to a half longer, as a replica's seed has it. Nothing is synced while a log is rewritten, and the logs of all replicas
// grow alike: they should not be rewritten all at once.
func apart(length int64, seed uint64) int64 {
	const steps = 64
	return length + length/2*int64(seed%steps)/steps
}

// compact rewrites the log once it has grown long.
func (e *engine) compact() {
	if e.rewriting || e.disk.bytes() < e.compactAt {
		return
	}
	e.rewriting = true
	e.capture(forLog)
}

// rewrite replaces the log by a snapshot and what follows it.
func (e *engine) rewrite(index uint64, snapshot []byte) {
	records := e.replica.Compact(snapshot, index)
	if records == nil {
		e.rewriting = false
		return
	}
	began := e.options.now()
	e.disk.submit(diskJob{records: toLog(records), rewrite: true, done: func(err error) {
		e.options.post(func() { e.compacted(err, e.options.now()-began) })
	}})
}

func (e *engine) compacted(err error, took time.Duration) {
	if e.closed {
		return
	}
	e.rewriting = false
	if err != nil {
		e.options.failed(err)
		return
	}
	e.compactAt = apart(max(leastCompaction, compactionGrowth*e.disk.bytes()), e.options.config.Seed)
	e.options.rewritten(e.disk.bytes(), took)
}
