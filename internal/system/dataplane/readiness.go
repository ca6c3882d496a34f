package dataplane

import (
	"net/http"
	"sync/atomic"
)

// Readiness tells the platform whether the dispatcher wants new connections: it has a configuration that was the newest
// at its time, hears of a core that serves, reaches its head, and isn't being shut down. It is an http.Handler.
type Readiness struct {
	directory *Directory
	options   Options
	draining  atomic.Bool
	lastReady atomic.Bool
	// onChange is told when the answer differs from the one before, and why it is no.
	onChange func(ready bool, reason string)
}

// NewReadiness makes a readiness that answers from what the directory knows. onChange must not block.
func NewReadiness(directory *Directory, onChange func(ready bool, reason string), options Options) *Readiness {
	return &Readiness{directory: directory, options: options.withDefaults(), onChange: onChange}
}

// Drain makes it unready for good.
func (r *Readiness) Drain() { r.draining.Store(true) }

// Ready is what the platform is answered.
func (r *Readiness) Ready() bool {
	return r.notReadyReason() == ""
}

// ServeHTTP answers 200 or 503.
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
