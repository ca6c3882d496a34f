package control

import (
	"sync"
	"time"
)

// loop runs functions one after the other on one goroutine: the owner of all cores of a replica. What comes in while it is busy
// is taken as one batch, and the end of each batch is where the cores' output is collected. What the replica core waits for, its
// peers' messages and word of its disk, goes before all else, also in the midst of a batch: heartbeats don't queue behind work.
type loop struct {
	mutex   sync.Mutex
	urgent  []func()
	queue   []func()
	wake    chan struct{}
	stopped chan struct{}
	ended   chan struct{} // closed at the end of run
	once    sync.Once
	// between, if set, runs before each function of a batch and after it, once nothing urgent waits.
	afterUrgent func()
	spareBatch  []func()
	// urgentCheckInterval is how long other work may go on before what is urgent is looked for in its midst.
	urgentInterval time.Duration
	urgentRunAt    time.Time
}

// urgentCheckInterval is far below a heartbeat's interval, and long enough that work in batches stays in batches.
const urgentCheckInterval = 5 * time.Millisecond

func newLoop() *loop {
	return &loop{wake: make(chan struct{}, 1), stopped: make(chan struct{}), ended: make(chan struct{}), urgentInterval: urgentCheckInterval}
}

// post hands in a function; it never blocks. What is posted after stop isn't run.
func (l *loop) post(work func()) {
	l.mutex.Lock()
	l.queue = append(l.queue, work)
	l.mutex.Unlock()
	l.signal()
}

// postUrgent hands in a function that goes before those of post. Urgent ones run in the order in which they came.
func (l *loop) postUrgent(work func()) {
	l.mutex.Lock()
	l.urgent = append(l.urgent, work)
	l.mutex.Unlock()
	l.signal()
}

// yieldDelay is how long the loop rests before work that goes on for long: enough for goroutines that wait for the processor, the disk's and the
// senders' among them, to get it. On a machine of one core they would have to wait until the system takes the processor away from the loop.
const yieldDelay = 50 * time.Microsecond

// postDeferred is postUrgent for work that is one of many pieces.
func (l *loop) postDeferred(work func()) {
	time.AfterFunc(yieldDelay, func() { l.postUrgent(work) })
}

func (l *loop) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// takeQueue gives all that waits and isn't urgent.
func (l *loop) takeQueue(reuse []func()) []func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batch := l.queue
	l.queue = reuse[:0]
	return batch
}

// takeUrgent gives all urgent ones that wait.
func (l *loop) takeUrgent(reuse []func()) []func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batch := l.urgent
	l.urgent = reuse[:0]
	return batch
}

// runUrgent runs what is urgent and had come in before, and then between.
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

// runUrgentIfDue attends if other work has gone on for a while.
func (l *loop) runUrgentIfDue() {
	if time.Since(l.urgentRunAt) >= l.urgentInterval {
		l.runUrgent()
	}
}

// run works until stop; after each batch flush collects output and gives the moment at which the loop has to wake by itself, as a
// duration from now.
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

// stop ends run after the batch in hand.
func (l *loop) stop() { l.once.Do(func() { close(l.stopped) }) }
