package control

import (
	"sync"

	"gaugeslip/coord/wal"
)

// diskJob is one write: records to append and sync, or the complete new content of the log.
type diskJob struct {
	records []wal.Record
	rewrite bool
	done    func(error)
}

// disk writes the log on a goroutine of its own. Jobs run in order. Consecutive appends that wait in the queue share one write and one
// sync.
type disk struct {
	log     *wal.Log
	mutex   sync.Mutex
	queue   []diskJob
	wake    chan struct{}
	stopped chan struct{}
	ended   chan struct{} // closed after the last write
	once    sync.Once
	size    int64
}

func newDisk(log *wal.Log) *disk {
	return &disk{log: log, wake: make(chan struct{}, 1), stopped: make(chan struct{}), ended: make(chan struct{}), size: log.Size()}
}

// submit queues a job. Its done function is called on the disk's goroutine.
func (d *disk) submit(job diskJob) {
	d.mutex.Lock()
	d.queue = append(d.queue, job)
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *disk) run() {
	for {
		select {
		case <-d.wake:
			d.runJobs(d.takeJobs())
		case <-d.stopped:
			_ = d.log.Close()
			close(d.ended)
			return
		}
	}
}

func (d *disk) stop() { d.once.Do(func() { close(d.stopped) }) }

// hasEnded reports whether the last write is over, so that the log may be opened again.
func (d *disk) hasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

func (d *disk) takeJobs() []diskJob {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	jobs := d.queue
	d.queue = nil
	return jobs
}

// logSize returns the length of the log in bytes after the last job.
func (d *disk) logSize() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.size
}

// runJobs runs jobs in order: consecutive appends with one write and one sync, each rewrite by itself.
func (d *disk) runJobs(jobs []diskJob) {
	for len(jobs) > 0 {
		n := 1
		if jobs[0].rewrite {
			d.finish(jobs[:1], d.log.Rewrite(jobs[0].records))
		} else {
			for n < len(jobs) && !jobs[n].rewrite {
				n++
			}
			d.finish(jobs[:n], d.append(jobs[:n]))
		}
		jobs = jobs[n:]
	}
}

func (d *disk) append(jobs []diskJob) error {
	records := jobs[0].records
	for _, job := range jobs[1:] {
		records = append(records, job.records...)
	}
	if err := d.log.Append(records...); err != nil {
		return err
	}
	return d.log.Sync()
}

func (d *disk) finish(jobs []diskJob, err error) {
	d.mutex.Lock()
	d.size = d.log.Size()
	d.mutex.Unlock()
	for _, job := range jobs {
		job.done(err)
	}
}
