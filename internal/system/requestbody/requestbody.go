// Package requestbody reads the bodies of HTTP requests within a memory budget for all bodies together. A body reserves memory as it arrives,
// whatever length the request declares.
package requestbody

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"

	"gaugeslip/internal/system/memorybudget"
)

const (
	// initialUnknownLength is the initial buffer size for a body without a declared length, initialKnownLength the largest one for a body with
	// a declared length.
	initialUnknownLength = 2 << 10
	initialKnownLength   = 16 << 10
)

var (
	// ErrTooLarge means that a body exceeds the maximum length.
	ErrTooLarge = errors.New("body too large")
	// ErrNoMemory means that the budget has too little memory left for the body.
	ErrNoMemory = errors.New("no memory for the body")
)

// Interrupted reports whether reading a body failed because the request stopped arriving. The request may be complete at its sender, and
// another copy of it may be carried out, so it must not be refused for good.
func Interrupted(err error) bool {
	var onConnection net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &onConnection)
}

// Read reads the complete body of a request, of at most maxBytes bytes. The lease reserves its memory.
func Read(request *http.Request, maxBytes int64, lease *memorybudget.Lease) ([]byte, error) {
	declared := request.ContentLength
	if declared > maxBytes {
		return nil, ErrTooLarge
	}
	if declared == 0 {
		return []byte{}, nil
	}
	limit, first := maxBytes+1, int64(initialUnknownLength) // one byte more, to detect a body that is too large
	if declared > 0 {
		limit, first = declared, initialKnownLength
	}
	body, err := readUpTo(request.Body, min(first, limit), limit, lease)
	switch {
	case err != nil:
		return nil, err
	case int64(len(body)) > maxBytes:
		return nil, ErrTooLarge
	case declared > 0 && int64(len(body)) < declared:
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// readUpTo reads to the end, or limit bytes, into a buffer that starts with first bytes and grows as data arrives.
func readUpTo(reader io.Reader, first, limit int64, lease *memorybudget.Lease) ([]byte, error) {
	if !lease.Grow(first) {
		return nil, ErrNoMemory
	}
	body := make([]byte, 0, first)
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), limit)
			if !lease.Grow(size) {
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}
