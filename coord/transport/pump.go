package transport

import (
	"net/rpc"
	"time"
)

// window is how many batches of one stream may be out without an answer.
const window = 8

// Batch is a run of messages of one stream. Streams of one sender are numbered upwards, each broken connection starts a
// new one, and the batches of a stream are numbered from 0.
type Batch[M any] struct {
	Sender   uint64
	Stream   uint64
	Sequence uint64
	Messages []M
}

// pump is the goroutine that sends what is queued for one address.
type pump[M any] struct {
	sender      *Sender[M]
	destination *destination[M]
	stream      stream[M]

	messages []M
	// silentTicks counts the ticks in a row at which batches were out and the connection had said nothing.
	silentTicks int
	responses   uint64
	// idleTicks counts the ticks since the last batch.
	idleTicks int
}

// stream is the batches that go over one connection; without a connection it is over.
type stream[M any] struct {
	number     uint64
	connection *connection
	done       chan *rpc.Call
	batches    [window]Batch[M]
	answered   [window]bool
	// oldest is the first batch without an answer, next the one to be sent.
	oldest     uint64
	next       uint64
	unanswered int
}

func newPump[M any](sender *Sender[M], to *destination[M]) *pump[M] {
	return &pump[M]{sender: sender, destination: to}
}

func (p *pump[M]) run() {
	ticker := time.NewTicker(p.tickInterval())
	defer ticker.Stop()
	defer p.endStream()
	for {
		p.sendQueued()
		select {
		case <-p.destination.wake:
		case call := <-p.stream.done:
			p.handleAnswer(call)
		case <-ticker.C:
			if p.tick() {
				return
			}
		case <-p.sender.closing:
			return
		}
	}
}

func (p *pump[M]) tickInterval() time.Duration {
	return max(p.sender.options.AnswerTimeout/2, 1)
}

func (p *pump[M]) maxIdleTicks() int {
	return int(p.sender.options.IdleTimeout / p.tickInterval())
}

// sendQueued sends as much as the window allows.
func (p *pump[M]) sendQueued() {
	for p.stream.windowOpen() && p.sender.queued(p.destination) > 0 {
		connection, err := p.sender.client.acquire(p.destination.addr, maxDialTime)
		if err != nil {
			p.sender.discardQueue(p.destination)
			return
		}
		if connection != p.stream.connection {
			p.startStream(connection)
		}
		p.sendBatch()
	}
}

// windowOpen tells whether another batch may go out.
func (s *stream[M]) windowOpen() bool {
	return s.next-s.oldest < window
}

// startStream is the change to a new stream.
func (p *pump[M]) startStream(connection *connection) {
	p.endStream()
	p.stream.number = p.sender.lastStream.Add(1)
	p.stream.connection = connection
	p.stream.done = make(chan *rpc.Call, window)
}

// endStream is the change to no stream; batches that are out may arrive or not.
func (p *pump[M]) endStream() {
	for range p.stream.unanswered {
		p.sender.client.release(p.stream.connection)
	}
	p.stream = stream[M]{}
	p.silentTicks = 0
}

// sendBatch sends one batch over the stream's connection, which was acquired for it.
func (p *pump[M]) sendBatch() {
	s := &p.stream
	place := s.next % window
	p.messages = p.sender.take(p.destination, p.messages[:0])
	s.batches[place] = Batch[M]{Sender: p.sender.id, Stream: s.number, Sequence: s.next, Messages: p.messages}
	s.answered[place] = false
	s.next++
	s.unanswered++
	s.connection.rpc.Go(p.sender.method, &s.batches[place], nil, s.done)
	clear(p.messages)
	p.idleTicks = 0
}

// handleAnswer records the end of a batch's call.
func (p *pump[M]) handleAnswer(call *rpc.Call) {
	if call.Error != nil {
		p.endStream()
		return
	}
	s := &p.stream
	batch := call.Args.(*Batch[M])
	s.answered[batch.Sequence%window] = true
	s.unanswered--
	p.sender.client.release(s.connection)
	for s.oldest < s.next && s.answered[s.oldest%window] {
		s.oldest++
	}
}

// tick closes a connection that has said nothing for too long; it tells whether the goroutine is to end.
func (p *pump[M]) tick() bool {
	if p.stream.unanswered > 0 {
		p.checkSilence()
		return false
	}
	p.silentTicks = 0
	p.idleTicks++
	return p.idleTicks >= p.maxIdleTicks() && p.sender.removeIfEmpty(p.destination)
}

func (p *pump[M]) checkSilence() {
	const maxSilentTicks = 3
	codec := p.stream.connection.codec
	responses := codec.responses.Load()
	if responses != p.responses {
		p.responses = responses
		p.silentTicks = 0
	}
	p.silentTicks++
	if p.silentTicks >= maxSilentTicks {
		codec.closeWithCause(errNoAnswer)
		p.endStream()
	}
}
