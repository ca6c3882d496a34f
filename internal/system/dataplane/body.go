package dataplane

import (
	"errors"
	"net/http"
	"time"

	"gaugeslip/internal/system/memorybudget"
	"gaugeslip/internal/system/requestbody"
)

const (
	// bodyMemoryDivisor: all request bodies together may use one part in bodyMemoryDivisor of the machine's memory.
	bodyMemoryDivisor = 8
	// bodyTimeout bounds the arrival of a request body, counted from the end of the header.
	bodyTimeout = 5 * time.Second
)

// setBodyDeadline bounds the arrival of the rest of the request, whether the body is read or discarded.
func setBodyDeadline(w http.ResponseWriter, now time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(now.Add(bodyTimeout)) // a connection without deadlines can't stall
}

// responseTimeout bounds how long a client may take to read its response, including all responses still unread on the connection.
const responseTimeout = 10 * time.Second

// setResponseDeadline bounds the time for writing a response.
func setResponseDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout)) // a connection without deadlines can't stall
}

func clearBodyDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// readBody reads a request body of at most maxBytes bytes and reserves its memory in the lease. If body is nil, refusal is the
// response to send.
func readBody(w http.ResponseWriter, request *http.Request, maxBytes int64, lease *memorybudget.Lease) (body []byte, refusal response) {
	body, err := requestbody.Read(request, maxBytes, lease)
	switch {
	case errors.Is(err, requestbody.ErrTooLarge):
		return nil, bodyTooLarge
	case errors.Is(err, requestbody.ErrNoMemory):
		return nil, noMemory.withReason(reasonBodiesFull, callSummary{})
	case requestbody.Interrupted(err):
		return nil, bodyInterrupted
	case err != nil:
		return nil, bodyUnreadable
	}
	if request.ContentLength != 0 {
		clearBodyDeadline(w)
	}
	return body, response{}
}
