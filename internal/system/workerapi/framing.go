package workerapi

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
)

// errUnasked ends a connection on which bytes came that no request had asked for.
var errUnasked = errors.New("bytes that answer no request")

// part is where in an answer the next byte lies.
type part uint8

const (
	// between answers: a byte may come only once a request has begun.
	between part = iota
	statusLine
	headerLines
	bodyBytes
	chunkLine
	chunkBytes
	trailerLines
	// endless: the answer ends with the connection, or can't be measured.
	endless
)

// framing follows the answers on one connection and tells where each ends. net/http gives a connection to the next call before it looks
// whether more has come behind an answer, and would take a second answer for the next call's.
type framing struct {
	// asked is set from the first byte of a request to the last of its answer.
	asked atomic.Bool

	part part
	// line is what has come of a line that isn't whole yet.
	line    []byte
	status  int
	length  int64 // of the body, -1 if the head doesn't tell
	chunked bool
	left    int64 // bytes of the body or the chunk
}

// ask takes note that bytes of a request go out.
func (f *framing) ask() { f.asked.Store(true) }

// own follows the bytes and returns how many of them belong to answers that were asked for.
func (f *framing) own(data []byte) int {
	for at := 0; at < len(data); {
		switch f.part {
		case between:
			if !f.asked.Load() {
				return at
			}
			f.part = statusLine
		case bodyBytes, chunkBytes:
			at += f.skip(len(data) - at)
		case endless:
			return len(data)
		default:
			at += f.takeLine(data[at:])
		}
	}
	return len(data)
}

// skip passes over bytes of a body.
func (f *framing) skip(most int) int {
	count := min(f.left, int64(most))
	f.left -= count
	if f.left > 0 {
		return int(count)
	}
	if f.part == chunkBytes {
		f.part = chunkLine
	} else {
		f.answerOver()
	}
	return int(count)
}

// takeLine takes the rest of a line, or what there is of it, and returns how many bytes that was.
func (f *framing) takeLine(data []byte) int {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		f.line = append(f.line, data...)
		if len(f.line) > maxHeaderBytes {
			f.part = endless
		}
		return len(data)
	}
	line := data[:end]
	if len(f.line) > 0 {
		line = append(f.line, line...)
		f.line = nil
	}
	f.takeWholeLine(bytes.TrimSuffix(line, []byte{'\r'}))
	return end + 1
}

func (f *framing) takeWholeLine(line []byte) {
	switch f.part {
	case statusLine:
		f.begin(line)
	case headerLines:
		f.takeHeader(line)
	case chunkLine:
		f.takeChunkLine(line)
	case trailerLines:
		if len(line) == 0 {
			f.answerOver()
		}
	}
}

func (f *framing) begin(line []byte) {
	_, rest, _ := bytes.Cut(line, []byte{' '})
	code, _, _ := bytes.Cut(rest, []byte{' '})
	f.status, _ = strconv.Atoi(string(code))
	f.part, f.length, f.chunked = headerLines, -1, false
}

func (f *framing) takeHeader(line []byte) {
	if len(line) == 0 {
		f.headOver()
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.length = number(value, 10)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.chunked = true
	}
}

func (f *framing) headOver() {
	switch {
	case f.status == http.StatusSwitchingProtocols:
		f.part = endless
	case f.status < http.StatusOK:
		f.part = statusLine
	case f.status == http.StatusNoContent || f.status == http.StatusNotModified:
		f.answerOver()
	case f.chunked:
		f.part = chunkLine
	case f.length < 0:
		f.part = endless
	case f.length == 0:
		f.answerOver()
	default:
		f.part, f.left = bodyBytes, f.length
	}
}

func (f *framing) takeChunkLine(line []byte) {
	const lineEnd = 2 // behind the bytes of a chunk
	size, _, _ := bytes.Cut(line, []byte{';'})
	switch length := number(size, 16); {
	case length < 0:
		f.part = endless
	case length == 0:
		f.part = trailerLines
	default:
		f.part, f.left = chunkBytes, length+lineEnd
	}
}

// answerOver is the change to no answer under way.
func (f *framing) answerOver() {
	f.part = between
	f.asked.Store(false)
}

// number reads a length; -1 if it is none.
func number(text []byte, base int) int64 {
	const bits = 48 // no length comes near this, and a few bytes more don't overflow
	value, err := strconv.ParseUint(string(bytes.TrimSpace(text)), base, bits)
	if err != nil {
		return -1
	}
	return int64(value)
}
