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

// requestError is a request that can't be taken: the status of the local reply and why.
type requestError struct {
	status int
	why    string
}

func (f *requestError) Error() string { return f.why }

func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// singleHeaders names the headers that a job may carry one time only: with two, the host might read the other one.
var singleHeaders = []string{"X-Trace-Id", "X-Qos", "X-Expires-In-Ms", "X-Size-Hint", "X-Props", "X-Customer",
	"Idempotency-Key"}

// checkFraming takes a body of one length, or in chunks, and refuses one that has both a Content-Length and a
// Transfer-Encoding: it may hide another request, to be served as if a client had sent it. net/http drops such a
// Content-Length before a handler sees it, so the connection's own copy of the head tells.
func checkFraming(r *http.Request) error {
	if len(r.TransferEncoding) == 0 {
		return nil
	}
	if c := clientOf(r); c == nil || c.hasContentLength() {
		return badRequest("Content-Length beside Transfer-Encoding")
	}
	return nil
}

// classOf is the class that a request's path names, by name and number.
func classOf(r *http.Request, s *settings.Settings) (name string, class int, ok bool) {
	name, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok = s.Classes[name]
	return name, class, ok
}

// decode reads a request's head into a ticket, once. Every error is a *fault.
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
			TraceID: r.Header.Get("X-Trace-Id"), Once: s.Policy.Classes[class].Effect != policy.Repeatable}}
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
	if j.Keyed = object != "" && len(object) <= maxIDLength; !j.Keyed { // a longer one counts as none
		object = t.Forward.TraceID
	}
	j.Key = xxhash.Sum64String(object)
	j.Budget = s.Policy.Classes[class].Deadline // where none is said
	var err error
	if said := r.Header["X-Expires-In-Ms"]; len(said) > 0 {
		if j.Budget, err = parseMilliseconds(said[0]); err != nil {
			return nil, badRequest("X-Expires-In-Ms: bad value %q", said[0])
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

// validID tells whether an id is 1 to n letters, digits, dashes, dots or underscores: what any host can read.
func validID(s string, n int) bool {
	for _, b := range []byte(s) {
		if !('a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' ||
			b == '-' || b == '_' || b == '.') {
			return false
		}
	}
	return len(s) > 0 && len(s) <= n
}

// printableASCII tells whether a request target is ASCII that can be seen: a host closes on what it can't read.
func printableASCII(s string) bool {
	for _, b := range []byte(s) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// parseMilliseconds reads whole milliseconds, an hour's worth at most: digits alone, where ParseFloat would take a sign,
// an exponent, hex figures or NaN too.
func parseMilliseconds(s string) (time.Duration, error) {
	v, err := strconv.ParseUint(s, 10, 32) // takes no sign
	if err != nil || v > uint64(time.Hour/time.Millisecond) {
		return 0, strconv.ErrRange
	}
	return time.Duration(v) * time.Millisecond, nil
}

// requestTarget is the path and query as the client wrote them, without the authority of an absolute form.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// parseDurationHeader reads a header that holds a count of units, an hour's worth at most; absent: 0.
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

// parseSlots finds the slots that a job takes among its other figures, "name=value,name=value".
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
