package dataplane

import (
	"errors"
	"net/http"
	"os"
	"time"

	"gaugeslip/internal/system/memorybudget"
	"gaugeslip/internal/system/requestbody"
)

const (
	// bodyMemoryDivisor is the part of the machine's memory that all bodies may take together.
	bodyMemoryDivisor = 8
	// bodyTimeout is how long a body may take to arrive, after its header.
	bodyTimeout = 5 * time.Second
)

// setBodyDeadline bounds the time that what is left of a request may take to arrive, whether it is read here or thrown away.
func setBodyDeadline(w http.ResponseWriter, now time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(now.Add(bodyTimeout)) // what has no deadlines doesn't stall either
}

// responseTimeout is how long a client may take to read its answer, all that it has asked for before on the connection included.
const responseTimeout = 10 * time.Second

// setResponseDeadline bounds the time that an answer may take to be written.
func setResponseDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout)) // what has no deadlines doesn't stall either
}

func clearBodyDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// readBody reads a request's body of at most so many bytes, which the lease holds. Without a body, refusal is the answer.
func readBody(w http.ResponseWriter, request *http.Request, maxBytes int64, lease *memorybudget.Lease) (body []byte, refusal response) {
	body, err := requestbody.Read(request, maxBytes, lease)
	switch {
	case errors.Is(err, requestbody.ErrTooLarge):
		return nil, bodyTooLarge
	case errors.Is(err, requestbody.ErrNoMemory):
		return nil, noMemory.withReason(reasonBodiesFull, callSummary{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, bodyTimedOut
	case err != nil:
		return nil, bodyUnreadable
	}
	if request.ContentLength != 0 {
		clearBodyDeadline(w)
	}
	return body, response{}
}
