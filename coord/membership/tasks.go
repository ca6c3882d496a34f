package membership

import "sync"

// tasks runs calls beside the rounds until it is closed.
type tasks struct {
	mu      sync.Mutex
	running sync.WaitGroup
	closed  bool
}

// spawn starts a task on a goroutine of its own, unless the tasks are closed.
func (t *tasks) spawn(task func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.running.Go(task)
	}
}

// close lets no more tasks start and waits for those that run.
func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.running.Wait()
}
