package simnet

import "time"

// parcel is what is under way in one direction: bytes, the end of the stream, or a reset.
type parcel struct {
	due   time.Time
	data  []byte
	end   bool
	reset bool
}

// stream is one direction of a connection. The network's lock guards it.
type stream struct {
	network *Network
	writer  *Conn
	reader  *Conn
	limit   Limit

	written int64
	// ended is set once the writer can't add bytes: it ended the stream, or the limit did.
	ended bool
	// mute is set once the limit has passed: later bytes vanish.
	mute     bool
	underWay []parcel
	lastDue  time.Time
	wake     *time.Timer

	inbox []byte
	// finished is set once the end of the stream has come.
	finished bool
}

// held counts the bytes that the reader has not read.
func (s *stream) held() int {
	total := len(s.inbox)
	for _, p := range s.underWay {
		total += len(p.data)
	}
	return total
}

// write takes bytes, up to the limit.
func (s *stream) write(data []byte) {
	room := s.limit.room(s.written)
	passed := data[:min(int64(len(data)), room)]
	s.written += int64(len(passed))
	if len(passed) > 0 {
		s.send(parcel{data: append([]byte(nil), passed...)})
	}
	s.applyLimit()
}

// applyLimit ends the direction once its limit has been reached.
func (s *stream) applyLimit() {
	if s.mute || s.limit.room(s.written) > 0 {
		return
	}
	switch s.limit.Then {
	case Finish:
		s.send(parcel{end: true})
	case Reset:
		s.send(parcel{reset: true})
		s.writer.fail(errReset)
	case Silence:
	}
	s.mute = true
}

// finish ends the stream behind the bytes already written.
func (s *stream) finish() {
	if s.ended {
		return
	}
	s.ended = true
	s.send(parcel{end: true})
}

// send puts a parcel under way, behind the ones before it. Past a limit nothing is sent; only a Finish lets a reset follow.
func (s *stream) send(p parcel) {
	if s.mute && !(p.reset && s.limit.Then == Finish) {
		return
	}
	due := time.Now().Add(s.network.delay(s.writer.host(), s.reader.host()))
	if due.Before(s.lastDue) {
		due = s.lastDue
	}
	s.lastDue = due
	p.due = due
	s.underWay = append(s.underWay, p)
	s.deliver()
}

// deliver hands over what is due and sets the timer for what is not.
func (s *stream) deliver() {
	if !s.network.passable(s.writer.host(), s.reader.host()) {
		return
	}
	now := time.Now()
	for len(s.underWay) > 0 && !s.underWay[0].due.After(now) {
		p := s.underWay[0]
		s.underWay = s.underWay[1:]
		s.arrive(p)
	}
	if len(s.underWay) > 0 {
		s.alarm(s.underWay[0].due.Sub(now))
	}
}

func (s *stream) alarm(after time.Duration) {
	if s.wake != nil {
		s.wake.Reset(after)
		return
	}
	s.wake = time.AfterFunc(after, func() {
		s.network.mu.Lock()
		defer s.network.mu.Unlock()
		s.deliver()
	})
}

// arrive is the receipt of a parcel. A closed end answers bytes with a reset.
func (s *stream) arrive(p parcel) {
	switch {
	case p.reset:
		s.reader.out.drop()
		s.reader.fail(errReset)
	case s.reader.over():
		if len(p.data) > 0 {
			s.reader.out.send(parcel{reset: true})
		}
	case p.end:
		s.finished = true
	default:
		s.inbox = append(s.inbox, p.data...)
	}
	s.reader.cond.Broadcast()
}

// drop loses what is under way.
func (s *stream) drop() { s.underWay = nil }

// take moves bytes to the reader and gives its writer room.
func (s *stream) take(buffer []byte) int {
	count := copy(buffer, s.inbox)
	s.inbox = s.inbox[count:]
	s.writer.cond.Broadcast()
	return count
}
