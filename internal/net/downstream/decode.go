package downstream

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/settings"
	"gaugeslip/policy"
)

const (
	maxBodyBytes = 64 << 10
	maxSlots     = 1 << 10
	maxIDLength  = 64
	maxKeyLength = 256
)

// requestError is the reason why a request cannot be accepted: the status and the text of the answer.
type requestError struct {
	status int
	why    string
}

func (f *requestError) Error() string { return f.why }

func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// singleHeaders names the headers that a job may carry only once: of two, the host might read the other one.
var singleHeaders = []string{"X-Trace-Id", "X-Qos", "X-Expires-In-Ms", "X-Size-Hint", "X-Props", "X-Customer",
	"Idempotency-Key"}

// checkFraming rejects a request that has both a Content-Length and a Transfer-Encoding: it may smuggle in a second
// request that the host would serve as a client's own. net/http drops such a Content-Length before a handler sees it,
// so the check uses the connection's own copy of the head.
func checkFraming(r *http.Request) error {
	if len(r.TransferEncoding) == 0 {
		return nil
	}
	if c := clientOf(r); c == nil || c.hasContentLength() {
		return badRequest("Content-Length beside Transfer-Encoding")
	}
	return nil
}

// classOf returns the class that a request's path names, by name and by number.
func classOf(r *http.Request, s *settings.Settings) (name string, class int, ok bool) {
	name, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok = s.Classes[name]
	return name, class, ok
}

// decode parses a request's head into a ticket. Every error is a *requestError.
func decode(r *http.Request, s *settings.Settings, arrived time.Time) (*loop.Ticket, error) {
	name, class, ok := classOf(r, s)
	if !ok {
		return nil, &requestError{http.StatusNotFound, "no such path"}
	}
	if r.Method != http.MethodPost {
		return nil, &requestError{http.StatusMethodNotAllowed, "jobs come by POST"}
	}
	if r.ContentLength > maxBodyBytes {
		return nil, &requestError{http.StatusRequestEntityTooLarge, "a body holds 64 KiB at most"}
	}
	for _, name := range singleHeaders {
		if len(r.Header[name]) > 1 {
			return nil, badRequest("%s: more than one", name)
		}
	}
	t := &loop.Ticket{Arrived: arrived, Job: dispatch.JobArrived{Class: class, Tenant: -1, Slots: 1},
		Forward: upstream.Request{Method: r.Method, URI: requestTarget(r), Host: r.Host,
			TraceID: r.Header.Get("X-Trace-Id"), NonRepeatable: s.Policy.Classes[class].Effect != policy.Repeatable}}
	j := &t.Job
	if !validID(t.Forward.TraceID, maxIDLength) {
		return nil, badRequest("X-Trace-Id: missing or malformed")
	}
	if !printableASCII(t.Forward.URI) {
		return nil, badRequest("the path holds what no URL may")
	}
	if t.Forward.IdempotencyKey = r.Header.Get("Idempotency-Key"); len(t.Forward.IdempotencyKey) > maxKeyLength {
		return nil, badRequest("Idempotency-Key: %d characters at most", maxKeyLength)
	}
	if q := r.Header.Get("X-Qos"); q != "" && q != name {
		return nil, badRequest("X-Qos: %q does not go with the path", q)
	}
	if c := r.Header.Get("X-Customer"); c != "" {
		if j.Tenant, ok = s.Tenants[c]; !ok {
			j.Tenant = -1
		}
	}
	j.Retry = r.Header.Get("X-Second-Try") == "1"
	object := r.Header.Get("X-Object")
	if j.Keyed = object != "" && len(object) <= maxIDLength; !j.Keyed { // an object name that is too long counts as none
		object = t.Forward.TraceID
	}
	j.Key = xxhash.Sum64String(object)
	j.Budget = s.Policy.Classes[class].Deadline // the default without a header
	var err error
	if values := r.Header["X-Expires-In-Ms"]; len(values) > 0 {
		if j.Budget, err = parseMilliseconds(values[0]); err != nil {
			return nil, badRequest("X-Expires-In-Ms: bad value %q", values[0])
		}
	}
	if j.Size, err = parseDurationHeader(r, "X-Size-Hint", time.Microsecond); err != nil {
		return nil, err
	}
	if j.Slots, err = parseSlots(r.Header.Get("X-Props")); err != nil {
		return nil, err
	}
	return t, nil
}

// validID reports whether s has 1 to n letters, digits, dashes, dots or underscores, which every host can parse.
func validID(s string, n int) bool {
	for _, b := range []byte(s) {
		if !('a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' ||
			b == '-' || b == '_' || b == '.') {
			return false
		}
	}
	return len(s) > 0 && len(s) <= n
}

// printableASCII reports whether s has only printable ASCII characters without spaces. A host closes the connection
// on a request target that it cannot parse.
func printableASCII(s string) bool {
	for _, b := range []byte(s) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// parseMilliseconds parses whole milliseconds, at most an hour's worth. It accepts digits only; ParseFloat would also
// accept a sign, an exponent, hexadecimal digits or NaN.
func parseMilliseconds(s string) (time.Duration, error) {
	v, err := strconv.ParseUint(s, 10, 32) // accepts no sign
	if err != nil || v > uint64(time.Hour/time.Millisecond) {
		return 0, strconv.ErrRange
	}
	return time.Duration(v) * time.Millisecond, nil
}

// requestTarget returns the path and query as the client wrote them, without the authority of an absolute form.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// parseDurationHeader parses a header that holds a count of units, at most an hour's worth. An absent header gives 0.
func parseDurationHeader(r *http.Request, name string, unit time.Duration) (time.Duration, error) {
	s := r.Header.Get(name)
	if s == "" {
		return 0, nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0) || v > float64(time.Hour/unit) {
		return 0, badRequest("%s: bad value %q", name, s)
	}
	return time.Duration(v * float64(unit)), nil
}

// parseSlots finds the number of slots that a job takes in its properties, "name=value,name=value". The default is 1.
func parseSlots(props string) (int, error) {
	for _, p := range strings.Split(props, ",") {
		if k, v, ok := strings.Cut(strings.TrimSpace(p), "="); ok && k == "slots" {
			n, err := strconv.ParseFloat(v, 64)
			if err != nil || !(n >= 0) || n > maxSlots {
				return 0, badRequest("X-Props: slots: bad value %q", v)
			}
			return max(1, int(n)), nil
		}
	}
	return 1, nil
}
