package control

import (
	"sync"
	"time"
)

// loop runs functions one after the other on one goroutine, which owns all cores of a replica. Functions that arrive while it is busy are
// taken as one batch, and the output of the cores is collected after each batch. Urgent functions, which carry messages of peers and
// completions of disk writes for the replica core, run before all others, also within a batch, so that heartbeats do not queue behind other
// work.
type loop struct {
	mutex   sync.Mutex
	urgent  []func()
	queue   []func()
	wake    chan struct{}
	stopped chan struct{}
	ended   chan struct{} // closed when run returns
	once    sync.Once
	// afterUrgent, if set, runs after the pending urgent functions, each time these are run.
	afterUrgent func()
	spareBatch  []func()
	// urgentInterval is how long other work may go on within a batch before urgent work is looked for.
	urgentInterval time.Duration
	urgentRunAt    time.Time
}

// urgentCheckInterval is far below the heartbeat interval, and long enough for work to stay in batches.
const urgentCheckInterval = 5 * time.Millisecond

func newLoop() *loop {
	return &loop{wake: make(chan struct{}, 1), stopped: make(chan struct{}), ended: make(chan struct{}), urgentInterval: urgentCheckInterval}
}

// post queues a function. It never blocks. Functions posted after stop may not run.
func (l *loop) post(work func()) {
	l.mutex.Lock()
	l.queue = append(l.queue, work)
	l.mutex.Unlock()
	l.signal()
}

// postUrgent queues a function that runs before those of post. Urgent functions run in the order in which they were queued.
func (l *loop) postUrgent(work func()) {
	l.mutex.Lock()
	l.urgent = append(l.urgent, work)
	l.mutex.Unlock()
	l.signal()
}

// yieldDelay is the pause before each part of long work. It lets goroutines that wait for a processor run, such as those of the disk and
// the senders. On a machine with one core they would otherwise wait until the operating system preempts the loop.
const yieldDelay = 50 * time.Microsecond

// postDeferred is postUrgent after yieldDelay, for work that is one of many parts.
func (l *loop) postDeferred(work func()) {
	time.AfterFunc(yieldDelay, func() { l.postUrgent(work) })
}

func (l *loop) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// takeQueue returns the queued functions that are not urgent and reuses the given slice for new ones.
func (l *loop) takeQueue(reuse []func()) []func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batch := l.queue
	l.queue = reuse[:0]
	return batch
}

// takeUrgent returns the queued urgent functions and reuses the given slice for new ones.
func (l *loop) takeUrgent(reuse []func()) []func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batch := l.urgent
	l.urgent = reuse[:0]
	return batch
}

// runUrgent runs the urgent functions queued so far, and then afterUrgent.
func (l *loop) runUrgent() {
	batch := l.takeUrgent(l.spareBatch)
	for i, work := range batch {
		work()
		batch[i] = nil
	}
	l.spareBatch = batch
	l.urgentRunAt = time.Now()
	if l.afterUrgent != nil {
		l.afterUrgent()
	}
}

// runUrgentIfDue runs urgent functions if urgentInterval has passed since the last time.
func (l *loop) runUrgentIfDue() {
	if time.Since(l.urgentRunAt) >= l.urgentInterval {
		l.runUrgent()
	}
}

// run executes queued functions until stop. After each batch it calls flush, which collects the output and returns the time until the loop
// must wake by itself.
func (l *loop) run(flush func() time.Duration) {
	defer close(l.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []func()
	for {
		l.runUrgent()
		batch = l.takeQueue(batch)
		for i, work := range batch {
			work()
			batch[i] = nil
			l.runUrgentIfDue()
		}
		timer.Reset(max(flush(), 0))
		select {
		case <-l.wake:
		case <-timer.C:
		case <-l.stopped:
			return
		}
	}
}

// stop makes run return after the present batch.
func (l *loop) stop() { l.once.Do(func() { close(l.stopped) }) }
