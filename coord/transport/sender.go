package transport

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	defaultQueueLength   = 1024
	defaultBatchLength   = 256
	defaultAnswerTimeout = 2 * time.Second
	defaultIdleTimeout   = 10 * time.Second
)

// SenderOptions are the settings of a Sender. Zero values stand for the defaults.
type SenderOptions struct {
	// QueueLength bounds the messages that wait for one address, 1,024 by default; the oldest go first.
	QueueLength int
	// BatchLength bounds the messages of one batch, 256 by default.
	BatchLength int
	// AnswerTimeout is how long a connection on which batches are out may say nothing, 2 s by default; it is taken for broken
	// after one to one and a half times that.
	AnswerTimeout time.Duration
	// IdleTimeout is how long the goroutine of an address outlasts its last message, 10 s by default.
	IdleTimeout time.Duration
}

func (o SenderOptions) withDefaults() SenderOptions {
	if o.QueueLength == 0 {
		o.QueueLength = defaultQueueLength
	}
	if o.BatchLength == 0 {
		o.BatchLength = defaultBatchLength
	}
	if o.AnswerTimeout == 0 {
		o.AnswerTimeout = defaultAnswerTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	return o
}

// Sender sends one-way messages. Those to one address arrive in order and once at most. Messages are lost when a
// connection breaks or can't be made, and when they are too many; nothing tells of it but Lost. A Sender is safe for
// concurrent use.
type Sender[M any] struct {
	client     *Client
	method     string
	options    SenderOptions
	id         uint64
	closing    chan struct{}
	group      sync.WaitGroup
	lastStream atomic.Uint64
	dropped    atomic.Uint64

	mu           sync.Mutex
	closed       bool
	destinations map[string]*destination[M]
}

// destination is what waits for one address. The sender's lock guards the queue.
type destination[M any] struct {
	addr  string
	queue queue[M]
	wake  chan struct{}
}

// NewSender returns a sender that calls the method, a Receiver's Receive, with batches.
func NewSender[M any](client *Client, method string, options SenderOptions) *Sender[M] {
	return &Sender[M]{
		client:       client,
		method:       method,
		options:      options.withDefaults(),
		id:           rand.Uint64(),
		closing:      make(chan struct{}),
		destinations: map[string]*destination[M]{},
	}
}

// Send queues a message for the address and returns at once. What the message refers to must not change any more.
func (s *Sender[M]) Send(addr string, message M) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	to, found := s.destinations[addr]
	if !found {
		to = s.startPump(addr)
	}
	if to.queue.push(message) {
		s.dropped.Add(1)
	}
	select {
	case to.wake <- struct{}{}:
	default:
	}
}

// Dropped returns how many messages surely weren't sent, for want of room or of a connection.
func (s *Sender[M]) Dropped() uint64 {
	return s.dropped.Load()
}

// Close ends the sender; what is queued is lost.
func (s *Sender[M]) Close() error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	s.mu.Unlock()
	s.group.Wait()
	return nil
}

// startPump starts the goroutine of an address. The caller holds the lock.
func (s *Sender[M]) startPump(addr string) *destination[M] {
	to := &destination[M]{
		addr:  addr,
		queue: queue[M]{bound: s.options.QueueLength},
		wake:  make(chan struct{}, 1),
	}
	s.destinations[addr] = to
	s.group.Go(newPump(s, to).run)
	return to
}

// removeIfEmpty forgets an address whose goroutine is about to end, unless a message came meanwhile.
func (s *Sender[M]) removeIfEmpty(to *destination[M]) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to.queue.len() > 0 {
		return false
	}
	delete(s.destinations, to.addr)
	return true
}

func (s *Sender[M]) queued(to *destination[M]) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return to.queue.len()
}

func (s *Sender[M]) take(to *destination[M], into []M) []M {
	s.mu.Lock()
	defer s.mu.Unlock()
	return to.queue.take(into, s.options.BatchLength)
}

// discardQueue loses all that waits for an address that can't be reached.
func (s *Sender[M]) discardQueue(to *destination[M]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped.Add(uint64(to.queue.clear()))
}
