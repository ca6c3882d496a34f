// Package clusterconfig reads and checks the operator's configuration of the cluster (routes, services and limits), and
// finds the route of a request in it.
package clusterconfig

import "time"

// What holds when the configuration doesn't name a limit.
const (
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxBodyBytes   = 256 << 10
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
)

// Config is one checked configuration. It is never changed after Parse has returned it.
type Config struct {
	// Version is above 0 and rises, in uneven steps, from one configuration to the next.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Quotas are the accelerators that tenants are promised; the zero value where the configuration names no tenant.
	Quotas Quotas
}

// Route is a queue of jobs: which requests belong to it and how its jobs are run.
type Route struct {
	// Name is what the operator calls the route; it may be empty.
	Name string
	// Host and PathPrefix say which requests it takes: Host in lower case and without a port, PathPrefix as it is written.
	Host, PathPrefix string
	// Type says whether its requests may be repeated, in the operator's words.
	Type string
	// Timeout is above 0.
	Timeout time.Duration
	// TargetLatency is the time that a job may take over its stretched chain of work.
	TargetLatency time.Duration
	// Priority ranks the queues; 0 goes first.
	Priority int
	// Backend names the service whose workers run its tasks.
	Backend string
	// MaxRetries is how often a task may fail; 0 when the operator names no figure.
	MaxRetries int
	// Extension stretches a job's longest chain of work to the time that it may take; 0 when the operator names none.
	Extension float64
	// Tenant names whose share of accelerators its jobs count against; empty when it is nobody's.
	Tenant string
}

// Service is a kind of worker.
type Service struct {
	Name, HealthCheck string
	// MaxConnections bounds the connections to one worker; 0 when the operator names no figure.
	MaxConnections int
	Protocol       string
	TLS            bool
	// Preconditions says that its workers refuse what they have no room for.
	Preconditions bool
}

// Limits bounds what clients may send. All of it is above 0.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are in bytes.
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Quotas are the accelerators that tenants are promised.
type Quotas struct {
	Tenants []Tenant
	// Pool is how many accelerators there are to be promised; Pooled tells that the configuration states it.
	Pool   int64
	Pooled bool
}

// Tenant is one who was promised accelerators.
type Tenant struct {
	Name string
	// Accelerators is how many its tasks may take at a time; a share of the pool is rounded down to a whole number.
	Accelerators int64
}

// Service finds a service by its name; ok is false when there is none. It looks through all of them: on paths that are
// walked often, ask the Router.
func (c *Config) Service(name string) (service *Service, ok bool) {
	for index := range c.Services {
		if c.Services[index].Name == name {
			return &c.Services[index], true
		}
	}
	return nil, false
}
