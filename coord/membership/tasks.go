package membership

import "sync"

// tasks runs functions on goroutines until it is closed.
type tasks struct {
	mu      sync.Mutex
	running sync.WaitGroup
	closed  bool
}

// spawn runs a task on a goroutine of its own, unless the tasks are closed.
func (t *tasks) spawn(task func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.running.Go(task)
	}
}

// close prevents further tasks from starting and waits for the running ones.
func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.running.Wait()
}
