package dataplane

import (
	"net/http"
	"sync/atomic"
)

// Readiness reports to the platform whether the dispatcher accepts new connections. It does if its configuration has once been
// confirmed as the newest, a serving replica and the head are reachable, and it isn't shutting down. It is an http.Handler.
type Readiness struct {
	directory *Directory
	options   Options
	draining  atomic.Bool
	lastReady atomic.Bool
	// onChange is called when the readiness differs from the previous probe, with the reason if it isn't ready.
	onChange func(ready bool, reason string)
}

// NewReadiness returns a readiness handler that uses the directory. onChange must not block.
func NewReadiness(directory *Directory, onChange func(ready bool, reason string), options Options) *Readiness {
	return &Readiness{directory: directory, options: options.withDefaults(), onChange: onChange}
}

// Drain makes the dispatcher unready permanently.
func (r *Readiness) Drain() { r.draining.Store(true) }

// Ready reports whether the dispatcher is ready.
func (r *Readiness) Ready() bool {
	return r.notReadyReason() == ""
}

// ServeHTTP responds with 200 or 503.
func (r *Readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	reason := r.notReadyReason()
	ready := reason == ""
	if r.lastReady.Swap(ready) != ready {
		r.onChange(ready, reason)
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
