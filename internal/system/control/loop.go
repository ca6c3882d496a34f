package control

import (
	"sync"
	"time"
)

// loop runs functions one after the other on one goroutine: the owner of all cores of a replica. What comes in while it is busy
// is taken as one batch, and the end of each batch is where the cores' output is collected.
type loop struct {
	mutex   sync.Mutex
	queue   []func()
	wake    chan struct{}
	stopped chan struct{}
	ended   chan struct{} // closed at the end of run
	once    sync.Once
}

func newLoop() *loop {
	return &loop{wake: make(chan struct{}, 1), stopped: make(chan struct{}), ended: make(chan struct{})}
}

// post hands in a function; it never blocks. What is posted after stop isn't run.
func (l *loop) post(work func()) {
	l.mutex.Lock()
	l.queue = append(l.queue, work)
	l.mutex.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take gives all that waits.
func (l *loop) take(reuse []func()) []func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batch := l.queue
	l.queue = reuse[:0]
	return batch
}

// run works until stop; after each batch flush collects output and gives the moment at which the loop has to wake by itself, as a
// duration from now.
func (l *loop) run(flush func() time.Duration) {
	defer close(l.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []func()
	for {
		batch = l.take(batch)
		for i, work := range batch {
			work()
			batch[i] = nil
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
