package transport

import (
	"sync"
)

const maxSenders = 1024

// Ack is the empty answer to a batch.
type Ack struct{}

// Receiver is the service that a Sender calls. It delivers the batches of each sender in the order in which they were sent.
type Receiver[M any] struct {
	deliver func(messages []M)

	mu         sync.Mutex
	useCounter uint64
	senders    map[uint64]*inboundStream[M]
}

// inboundStream is the current stream of one sender. Its lock is held while a batch is delivered.
type inboundStream[M any] struct {
	lastUse uint64

	mu       sync.Mutex
	stream   uint64
	next     uint64
	buffered [window]*Batch[M]
}

// NewReceiver returns a receiver that passes messages to deliver, which may keep them. Calls of deliver for one sender are sequential,
// those for different senders may be concurrent. A slow call of deliver delays the batches of its sender.
func NewReceiver[M any](deliver func(messages []M)) *Receiver[M] {
	return &Receiver[M]{deliver: deliver, senders: map[uint64]*inboundStream[M]{}}
}

// Receive accepts a batch; net/rpc calls it. It returns ErrGap if the stream cannot continue.
func (r *Receiver[M]) Receive(batch *Batch[M], _ *Ack) error {
	from := r.streamOf(batch.Sender)
	from.mu.Lock()
	defer from.mu.Unlock()
	if batch.Stream > from.stream {
		from.startStream(batch.Stream)
	}
	if batch.Stream < from.stream || batch.Sequence < from.next {
		return nil
	}
	if batch.Sequence-from.next >= window {
		return ErrGap
	}
	from.buffered[batch.Sequence%window] = batch
	r.deliverBuffered(from)
	return nil
}

// deliverBuffered delivers the buffered batches up to the first gap.
func (r *Receiver[M]) deliverBuffered(from *inboundStream[M]) {
	for {
		place := from.next % window
		batch := from.buffered[place]
		if batch == nil {
			return
		}
		from.buffered[place] = nil
		from.next++
		r.deliver(batch.Messages)
	}
}

// startStream changes to a newer stream and discards the buffered batches of the old one.
func (i *inboundStream[M]) startStream(stream uint64) {
	i.stream = stream
	i.next = 0
	clear(i.buffered[:])
}

// streamOf returns the stream of a sender and adds it if it is missing.
func (r *Receiver[M]) streamOf(sender uint64) *inboundStream[M] {
	r.mu.Lock()
	defer r.mu.Unlock()
	from, found := r.senders[sender]
	if !found {
		if len(r.senders) >= maxSenders {
			r.evictOldest()
		}
		from = &inboundStream[M]{}
		r.senders[sender] = from
	}
	r.useCounter++
	from.lastUse = r.useCounter
	return from
}

// evictOldest removes the sender whose last batch is the oldest. If that sender is still alive, its stream fails with ErrGap and it starts
// a new one.
func (r *Receiver[M]) evictOldest() {
	var oldest uint64
	least := r.useCounter + 1
	for sender, from := range r.senders {
		if from.lastUse < least {
			oldest = sender
			least = from.lastUse
		}
	}
	delete(r.senders, oldest)
}
