package dataplane

import (
	"net/http"
	"strconv"

	"gaugeslip/internal/system/findings"
)

// response is the HTTP response to a client's request.
type response struct {
	status int
	body   []byte
	// retryable adds a Retry-After of one second. It is set only if the request certainly wasn't executed.
	retryable bool
	allow     []string
	// close closes the connection after the response instead of waiting for the rest of the request.
	close bool
	// summary describes the calls behind an unsuccessful response, for the log.
	summary callSummary
}

// withSummary returns the response with a summary of the calls made for it.
func (a response) withSummary(summary callSummary) response {
	a.summary = summary
	return a
}

// withReason returns the response with the summary and the reason for the failure.
func (a response) withReason(reason failureReason, summary callSummary) response {
	summary.reason = reason
	return a.withSummary(summary)
}

// Header values are shared by all responses and must not be modified.
var (
	jsonType        = []string{"application/json"}
	closeValue      = []string{"close"}
	retryAfterValue = []string{"1"}
	routeMethods    = []string{"GET"}
	jobMethods      = []string{"GET, POST, DELETE"}
)

var (
	accepted         = response{status: http.StatusOK}
	cancelled        = response{status: http.StatusOK}
	gone             = response{status: http.StatusGone}
	notFound         = response{status: http.StatusNotFound}
	unavailable      = response{status: http.StatusServiceUnavailable, retryable: true}
	overloaded       = response{status: http.StatusTooManyRequests, retryable: true}
	noMemory         = response{status: http.StatusTooManyRequests, retryable: true, close: true}
	timedOut         = response{status: http.StatusGatewayTimeout}
	bodyTooLarge     = response{status: http.StatusRequestEntityTooLarge}
	bodyInterrupted  = response{status: http.StatusRequestTimeout}
	invalidID        = invalidResponse(findings.Findings{{Place: "id", Text: "is not 16 hex digits"}})
	bodyUnreadable   = invalidResponse(findings.Findings{{Place: "body", Text: "can't be read in full"}})
	wrongMethod      = response{status: http.StatusMethodNotAllowed, allow: jobMethods}
	wrongRouteMethod = response{status: http.StatusMethodNotAllowed, allow: routeMethods}
)

// stateResponses holds the prepared responses for all known job states.
var stateResponses = map[string]response{
	"pending":   stateResponse("pending"),
	"running":   stateResponse("running"),
	"completed": stateResponse("completed"),
	"failed":    stateResponse("failed"),
	"cancelled": stateResponse("cancelled"),
}

func stateResponse(state string) response {
	body := append([]byte(`{"state":`), strconv.Quote(state)...)
	return response{status: http.StatusOK, body: append(body, '}')}
}

func countResponse(pending int) response {
	body := strconv.AppendInt([]byte(`{"pending":`), int64(pending), 10)
	return response{status: http.StatusOK, body: append(body, '}')}
}

func (a response) write(w http.ResponseWriter) {
	header := w.Header()
	if a.retryable {
		header["Retry-After"] = retryAfterValue
	}
	if a.close {
		header["Connection"] = closeValue
	}
	if a.allow != nil {
		header["Allow"] = a.allow
	}
	if a.body == nil {
		w.WriteHeader(a.status)
		return
	}
	header["Content-Type"] = jsonType
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the client may have disconnected
}
