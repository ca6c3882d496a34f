package workerapi

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
)

// errUnsolicited ends a connection on which bytes came that no request had asked for.
var errUnsolicited = errors.New("bytes that answer no request")

// parseState is where in an answer the next byte lies.
type parseState uint8

const (
	// betweenAnswers answers: a byte may come only once a request has begun.
	betweenAnswers parseState = iota
	statusLine
	headerLines
	bodyBytes
	chunkSizeLine
	chunkBytes
	trailerLines
	// endless: the answer ends with the connection, or can't be measured.
	untilClose
)

// framing follows the answers on one connection and tells where each ends. net/http gives a connection to the next call before it looks
// whether more has come behind an answer, and would take a second answer for the next call's.
type framing struct {
	// expectsAnswer is set from the first byte of a request to the last of its answer.
	expectsAnswer atomic.Bool

	state parseState
	// line is what has come of a line that isn't whole yet.
	line      []byte
	status    int
	length    int64 // of the body, -1 if the head doesn't tell
	chunked   bool
	remaining int64 // bytes of the body or the chunk
}

// noteRequest takes note that bytes of a request go out.
func (f *framing) noteRequest() { f.expectsAnswer.Store(true) }

// countExpected follows the bytes and returns how many of them belong to answers that were asked for.
func (f *framing) countExpected(data []byte) int {
	for at := 0; at < len(data); {
		switch f.state {
		case betweenAnswers:
			if !f.expectsAnswer.Load() {
				return at
			}
			f.state = statusLine
		case bodyBytes, chunkBytes:
			at += f.skipBody(len(data) - at)
		case untilClose:
			return len(data)
		default:
			at += f.consumeLine(data[at:])
		}
	}
	return len(data)
}

// skipBody passes over bytes of a body.
func (f *framing) skipBody(available int) int {
	count := min(f.remaining, int64(available))
	f.remaining -= count
	if f.remaining > 0 {
		return int(count)
	}
	if f.state == chunkBytes {
		f.state = chunkSizeLine
	} else {
		f.answerDone()
	}
	return int(count)
}

// consumeLine takes the rest of a line, or what there is of it, and returns how many bytes that was.
func (f *framing) consumeLine(data []byte) int {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		f.line = append(f.line, data...)
		if len(f.line) > maxHeaderBytes {
			f.state = untilClose
		}
		return len(data)
	}
	line := data[:end]
	if len(f.line) > 0 {
		line = append(f.line, line...)
		f.line = nil
	}
	f.handleLine(bytes.TrimSuffix(line, []byte{'\r'}))
	return end + 1
}

func (f *framing) handleLine(line []byte) {
	switch f.state {
	case statusLine:
		f.parseStatusLine(line)
	case headerLines:
		f.parseHeader(line)
	case chunkSizeLine:
		f.parseChunkSize(line)
	case trailerLines:
		if len(line) == 0 {
			f.answerDone()
		}
	}
}

func (f *framing) parseStatusLine(line []byte) {
	_, rest, _ := bytes.Cut(line, []byte{' '})
	code, _, _ := bytes.Cut(rest, []byte{' '})
	f.status, _ = strconv.Atoi(string(code))
	f.state, f.length, f.chunked = headerLines, -1, false
}

func (f *framing) parseHeader(line []byte) {
	if len(line) == 0 {
		f.headersDone()
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.length = parseLength(value, 10)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.chunked = true
	}
}

func (f *framing) headersDone() {
	switch {
	case f.status == http.StatusSwitchingProtocols:
		f.state = untilClose
	case f.status < http.StatusOK:
		f.state = statusLine
	case f.status == http.StatusNoContent || f.status == http.StatusNotModified:
		f.answerDone()
	case f.chunked:
		f.state = chunkSizeLine
	case f.length < 0:
		f.state = untilClose
	case f.length == 0:
		f.answerDone()
	default:
		f.state, f.remaining = bodyBytes, f.length
	}
}

func (f *framing) parseChunkSize(line []byte) {
	const lineEnd = 2 // behind the bytes of a chunk
	size, _, _ := bytes.Cut(line, []byte{';'})
	switch length := parseLength(size, 16); {
	case length < 0:
		f.state = untilClose
	case length == 0:
		f.state = trailerLines
	default:
		f.state, f.remaining = chunkBytes, length+lineEnd
	}
}

// answerDone is the change to no answer under way.
func (f *framing) answerDone() {
	f.state = betweenAnswers
	f.expectsAnswer.Store(false)
}

// parseLength reads a length; -1 if it is none.
func parseLength(text []byte, base int) int64 {
	const bits = 48 // no length comes near this, and a few bytes more don't overflow
	value, err := strconv.ParseUint(string(bytes.TrimSpace(text)), base, bits)
	if err != nil {
		return -1
	}
	return int64(value)
}
