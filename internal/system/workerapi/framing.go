package workerapi

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
)

// errUnsolicited ends a connection that delivered bytes without a request for them.
var errUnsolicited = errors.New("bytes that answer no request")

// parseState is the part of an answer that the next byte belongs to.
type parseState uint8

const (
	// betweenAnswers: bytes may arrive only after a request has begun.
	betweenAnswers parseState = iota
	statusLine
	headerLines
	bodyBytes
	chunkSizeLine
	chunkBytes
	trailerLines
	// untilClose: the answer ends with the connection, or its length can't be determined.
	untilClose
)

// framing parses the answers on one connection to find where each ends. net/http hands a connection to the next call before it checks
// for further bytes after an answer, and would take a second answer for that of the next call.
type framing struct {
	// expectsAnswer is true from the first byte of a request to the last byte of its answer.
	expectsAnswer atomic.Bool

	state parseState
	// line is the received part of an incomplete line.
	line      []byte
	status    int
	length    int64 // of the body; -1 if the headers don't state it
	chunked   bool
	remaining int64 // bytes left of the body or the chunk
}

// noteRequest records that bytes of a request are being sent.
func (f *framing) noteRequest() { f.expectsAnswer.Store(true) }

// countExpected parses the received bytes and returns how many of them belong to answers to requests.
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

// skipBody skips bytes of a body or a chunk and returns how many of the available bytes it skipped.
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

// consumeLine consumes data up to the end of the line, or all of it, and returns the number of bytes consumed.
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
	const lineEnd = 2 // CR LF after the bytes of a chunk
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

// answerDone notes the end of an answer.
func (f *framing) answerDone() {
	f.state = betweenAnswers
	f.expectsAnswer.Store(false)
}

// parseLength parses a length. It returns -1 for invalid text.
func parseLength(text []byte, base int) int64 {
	const bits = 48 // far above any real length; adding a few bytes can't overflow
	value, err := strconv.ParseUint(string(bytes.TrimSpace(text)), base, bits)
	if err != nil {
		return -1
	}
	return int64(value)
}
