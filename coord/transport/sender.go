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

// SenderOptions are the settings of a Sender. A zero value selects the default.
type SenderOptions struct {
	// QueueLength bounds the queued messages of one address, 1,024 by default. When the queue is full, the oldest message is dropped.
	QueueLength int
	// BatchLength bounds the messages of one batch, 256 by default.
	BatchLength int
	// AnswerTimeout is how long a connection with unanswered batches may be silent, 2 s by default. The connection is closed after one to
	// one and a half times this duration.
	AnswerTimeout time.Duration
	// IdleTimeout is how long the goroutine of an address keeps running after its last message, 10 s by default.
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

// Sender sends one-way messages. Messages to one address arrive in order and at most once. Messages are lost when a connection breaks or
// cannot be opened, and when a queue is full. Only Dropped counts some of them; no error is returned. A Sender is safe for concurrent use.
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

// destination is the queue of one address. The lock of the sender guards the queue.
type destination[M any] struct {
	addr  string
	queue queue[M]
	wake  chan struct{}
}

// NewSender returns a sender that calls the method, which is the Receive method of a Receiver, with batches.
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

// Send queues a message for the address and returns immediately. The data that the message refers to must not be modified afterwards.
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

// Dropped returns how many messages were definitely not sent, because a queue was full or a connection could not be opened.
func (s *Sender[M]) Dropped() uint64 {
	return s.dropped.Load()
}

// Close stops the sender and drops the queued messages.
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

// startPump adds an address and starts its goroutine. The caller holds the lock.
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

// removeIfEmpty removes an address unless a message was queued meanwhile, and reports whether it did. The goroutine of the address then
// ends.
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

// discardQueue drops all queued messages of an address that cannot be reached.
func (s *Sender[M]) discardQueue(to *destination[M]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped.Add(uint64(to.queue.clear()))
}
