package transport

import (
	"net/rpc"
	"time"
)

// window is the maximum number of unanswered batches of one stream.
const window = 8

// Batch is a sequence of messages of one stream. The streams of one sender have increasing numbers, and each new connection starts a new
// stream. The batches of a stream are numbered from 0.
type Batch[M any] struct {
	Sender   uint64
	Stream   uint64
	Sequence uint64
	Messages []M
}

// pump is the goroutine that sends the queued messages of one address.
type pump[M any] struct {
	sender      *Sender[M]
	destination *destination[M]
	stream      stream[M]

	messages []M
	// silentTicks counts the consecutive ticks with unanswered batches since the last answer. The first tick after an answer counts as
	// well.
	silentTicks int
	responses   uint64
	// idleTicks counts the ticks since the last batch.
	idleTicks int
}

// stream is the sequence of batches sent over one connection. The zero value means that there is no connection.
type stream[M any] struct {
	number     uint64
	connection *connection
	done       chan *rpc.Call
	batches    [window]Batch[M]
	answered   [window]bool
	// oldest is the sequence number of the first unanswered batch, next that of the next batch to send.
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

// sendQueued sends as many queued messages as the window allows.
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

// windowOpen reports whether the window allows another batch.
func (s *stream[M]) windowOpen() bool {
	return s.next-s.oldest < window
}

// startStream ends the current stream and starts a new one on the connection.
func (p *pump[M]) startStream(connection *connection) {
	p.endStream()
	p.stream.number = p.sender.lastStream.Add(1)
	p.stream.connection = connection
	p.stream.done = make(chan *rpc.Call, window)
}

// endStream ends the current stream. Its unanswered batches may or may not arrive.
func (p *pump[M]) endStream() {
	for range p.stream.unanswered {
		p.sender.client.release(p.stream.connection)
	}
	p.stream = stream[M]{}
	p.silentTicks = 0
}

// sendBatch sends one batch over the connection of the stream, which the caller has acquired for it.
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

// handleAnswer records the result of the call of a batch. An error ends the stream.
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

// tick closes a silent connection. It reports whether the goroutine should end because it was idle for the idle timeout.
func (p *pump[M]) tick() bool {
	if p.stream.unanswered > 0 {
		p.checkSilence()
		return false
	}
	p.silentTicks = 0
	p.idleTicks++
	return p.idleTicks >= p.maxIdleTicks() && p.sender.removeIfEmpty(p.destination)
}

// checkSilence closes the connection if no answer has arrived on it for too many ticks.
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
