// Package requestbody reads the bodies of HTTP requests into memory of which there is a bounded amount for all of them together. A body takes
// memory as it arrives, whatever length was told.
package requestbody

import (
	"errors"
	"io"
	"net/http"

	"gaugeslip/internal/system/memorybudget"
)

const (
	// initialUnknownLength is the first room for a body whose length isn't declared, initialKnownLength that for one whose length is.
	initialUnknownLength = 2 << 10
	initialKnownLength   = 16 << 10
)

var (
	// ErrTooLarge says that a body is longer than it may be.
	ErrTooLarge = errors.New("body too large")
	// ErrNoMemory says that the bodies of others take what there is.
	ErrNoMemory = errors.New("no memory for the body")
)

// Read reads a request's whole body, of at most so many bytes. The lease holds it.
func Read(request *http.Request, maxBytes int64, lease *memorybudget.Lease) ([]byte, error) {
	declared := request.ContentLength
	if declared > maxBytes {
		return nil, ErrTooLarge
	}
	if declared == 0 {
		return []byte{}, nil
	}
	limit, first := maxBytes+1, int64(initialUnknownLength) // one more tells a body that is too large
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

// readUpTo reads to the end, or that many bytes, in a buffer that grows with what arrives.
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
