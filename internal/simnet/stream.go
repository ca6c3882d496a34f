package simnet

import "time"

// segment is one unit of data in flight: bytes, the end of the stream, or a reset.
type segment struct {
	due   time.Time
	data  []byte
	end   bool
	reset bool
}

// stream is one direction of a connection. It is guarded by the network's lock.
type stream struct {
	network *Network
	writer  *Conn
	reader  *Conn
	limit   Limit

	written int64
	// ended is set once the writer has ended the stream: it can add no more bytes.
	ended bool
	// limitReached is set once the limit has been reached: later bytes are dropped.
	limitReached bool
	inFlight     []segment
	lastDue      time.Time
	timer        *time.Timer

	inbox []byte
	// finished is set once the end of the stream has arrived at the reader.
	finished bool
}

// unread returns the number of bytes, arrived or in flight, that the reader has not read.
func (s *stream) unread() int {
	total := len(s.inbox)
	for _, p := range s.inFlight {
		total += len(p.data)
	}
	return total
}

// write sends data up to the limit and drops the rest.
func (s *stream) write(data []byte) {
	room := s.limit.remaining(s.written)
	passed := data[:min(int64(len(data)), room)]
	s.written += int64(len(passed))
	if len(passed) > 0 {
		s.send(segment{data: append([]byte(nil), passed...)})
	}
	s.applyLimit()
}

// applyLimit applies the ending once the limit has been reached.
func (s *stream) applyLimit() {
	if s.limitReached || s.limit.remaining(s.written) > 0 {
		return
	}
	switch s.limit.Then {
	case Finish:
		s.send(segment{end: true})
	case Reset:
		s.send(segment{reset: true})
		s.writer.fail(errReset)
	case Silence:
	}
	s.limitReached = true
}

// finish ends the stream after the bytes already written.
func (s *stream) finish() {
	if s.ended {
		return
	}
	s.ended = true
	s.send(segment{end: true})
}

// send puts a segment in flight after the earlier ones. Nothing is sent past a limit, except a reset after a Finish.
func (s *stream) send(p segment) {
	if s.limitReached && !(p.reset && s.limit.Then == Finish) {
		return
	}
	due := time.Now().Add(s.network.delay(s.writer.host(), s.reader.host()))
	if due.Before(s.lastDue) {
		due = s.lastDue
	}
	s.lastDue = due
	p.due = due
	s.inFlight = append(s.inFlight, p)
	s.deliver()
}

// deliver delivers the segments that are due and sets the timer for the next one. It does nothing while the route is held.
func (s *stream) deliver() {
	if !s.network.passable(s.writer.host(), s.reader.host()) {
		return
	}
	now := time.Now()
	for len(s.inFlight) > 0 && !s.inFlight[0].due.After(now) {
		p := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.arrive(p)
	}
	if len(s.inFlight) > 0 {
		s.setTimer(s.inFlight[0].due.Sub(now))
	}
}

func (s *stream) setTimer(after time.Duration) {
	if s.timer != nil {
		s.timer.Reset(after)
		return
	}
	s.timer = time.AfterFunc(after, func() {
		s.network.mu.Lock()
		defer s.network.mu.Unlock()
		s.deliver()
	})
}

// arrive handles a segment at the reader. A closed end answers bytes with a reset.
func (s *stream) arrive(p segment) {
	switch {
	case p.reset:
		s.reader.out.drop()
		s.reader.fail(errReset)
	case s.reader.unusable():
		if len(p.data) > 0 {
			s.reader.out.send(segment{reset: true})
		}
	case p.end:
		s.finished = true
	default:
		s.inbox = append(s.inbox, p.data...)
	}
	s.reader.cond.Broadcast()
}

// drop discards the segments in flight.
func (s *stream) drop() { s.inFlight = nil }

// take moves arrived bytes to buffer and wakes the writer, which may be waiting for space in the window.
func (s *stream) take(buffer []byte) int {
	count := copy(buffer, s.inbox)
	s.inbox = s.inbox[count:]
	s.writer.cond.Broadcast()
	return count
}
