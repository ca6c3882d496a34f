package downstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/settings"
)

const (
	maxBody  = 64 << 10
	maxSlots = 1 << 10
)

// fault is a request that can't be taken: the status of the local reply and why.
type fault struct {
	status int
	why    string
}

func (f *fault) Error() string { return f.why }

func bad(format string, args ...any) error {
	return &fault{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// decode reads a request into a ticket, once. Every error is a *fault.
func decode(w http.ResponseWriter, r *http.Request, s *settings.Settings, arrived time.Time) (*loop.Ticket, error) {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := s.Classes[first]
	if !ok {
		return nil, &fault{http.StatusNotFound, "no such path"}
	}
	if r.Method != http.MethodPost {
		return nil, &fault{http.StatusMethodNotAllowed, "jobs come by POST"}
	}
	t := &loop.Ticket{Arrived: arrived, Job: dispatch.Arrived{Class: class, Tenant: -1, Slots: 1},
		Forward: upstream.Request{Method: r.Method, URI: target(r), Host: r.Host,
			TraceID: r.Header.Get("X-Trace-Id")}}
	j := &t.Job
	if t.Forward.TraceID == "" {
		return nil, bad("X-Trace-Id: missing")
	}
	if q := r.Header.Get("X-Qos"); q != "" && q != first {
		return nil, bad("X-Qos: %q does not go with the path", q)
	}
	if c := r.Header.Get("X-Customer"); c != "" {
		if j.Tenant, ok = s.Tenants[c]; !ok {
			j.Tenant = -1
		}
	}
	j.Retry = r.Header.Get("X-Second-Try") == "1"
	var err error
	if j.Budget, err = number(r, "X-Expires-In-Ms", time.Millisecond); err != nil {
		return nil, err
	}
	if r.Header.Get("X-Expires-In-Ms") == "" { // not said: the class's own
		j.Budget = s.Policy.Classes[class].Deadline
	}
	if j.Size, err = number(r, "X-Size-Hint", time.Microsecond); err != nil {
		return nil, err
	}
	if j.Slots, err = slots(r.Header.Get("X-Props")); err != nil {
		return nil, err
	}
	t.Forward.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return nil, &fault{http.StatusRequestEntityTooLarge, "a body holds 64 KiB at most"}
	}
	if err != nil {
		return nil, bad("body: %v", err)
	}
	return t, nil
}

// target is the path and query as the client wrote them, without the authority of an absolute form.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// number reads a header that holds a count of units, an hour's worth at most; absent: 0.
func number(r *http.Request, name string, unit time.Duration) (time.Duration, error) {
	s := r.Header.Get(name)
	if s == "" {
		return 0, nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0) || v > float64(time.Hour/unit) {
		return 0, bad("%s: bad value %q", name, s)
	}
	return time.Duration(v * float64(unit)), nil
}

// slots finds the slots that a job takes among its other figures, "name=value,name=value".
func slots(props string) (int, error) {
	for _, p := range strings.Split(props, ",") {
		if k, v, ok := strings.Cut(strings.TrimSpace(p), "="); ok && k == "slots" {
			n, err := strconv.ParseFloat(v, 64)
			if err != nil || !(n >= 0) || n > maxSlots {
				return 0, bad("X-Props: slots: bad value %q", v)
			}
			return max(1, int(n)), nil
		}
	}
	return 1, nil
}
