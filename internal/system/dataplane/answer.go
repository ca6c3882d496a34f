package dataplane

import (
	"net/http"
	"strconv"

	"gaugeslip/internal/system/findings"
)

// response is what a client gets.
type response struct {
	status int
	body   []byte
	// retryable says that the client may come back in a second: the request surely wasn't carried out.
	retryable bool
	allow     []string
	// close ends the connection: what is left of the request isn't waited for.
	close bool
	// summary explains an answer without success.
	summary callSummary
}

// withSummary is the answer with what became of the tries for it.
func (a response) withSummary(summary callSummary) response {
	a.summary = summary
	return a
}

// withReason is the answer with its reason.
func (a response) withReason(reason failureReason, summary callSummary) response {
	summary.reason = reason
	return a.withSummary(summary)
}

// Header values are shared by all answers and never changed.
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
	bodyTimedOut     = response{status: http.StatusRequestTimeout}
	invalidID        = invalidResponse(findings.Findings{{Place: "id", Text: "is not 16 hex digits"}})
	bodyUnreadable   = invalidResponse(findings.Findings{{Place: "body", Text: "can't be read in full"}})
	wrongMethod      = response{status: http.StatusMethodNotAllowed, allow: jobMethods}
	wrongRouteMethod = response{status: http.StatusMethodNotAllowed, allow: routeMethods}
)

// stateResponses are the answers to the states that there are, made once.
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
	_, _ = w.Write(a.body) // a client that has gone needs no answer
}
