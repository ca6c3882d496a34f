// Package clusterconfig decodes and checks the operator's configuration of the cluster (routes, services, limits and quotas), and finds the
// route of a request in it.
package clusterconfig

import "time"

// Defaults for limits that the configuration doesn't set.
const (
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxBodyBytes   = 256 << 10
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
)

// Config is a checked configuration. It must not be modified after Parse has returned it.
type Config struct {
	// Version is above 0. It rises from one configuration to the next, possibly by more than 1.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Quotas are the accelerators that tenants are promised. The list of tenants is empty if the configuration names none.
	Quotas Quotas
}

// Route is a queue of jobs: it defines which requests belong to the queue and how their jobs run.
type Route struct {
	// Name is the operator's name for the route; it may be empty.
	Name string
	// Host and PathPrefix select the requests of the route. Host is in lower case and without a port, PathPrefix as configured.
	Host, PathPrefix string
	// Type tells in the operator's words whether requests may be repeated.
	Type string
	// Timeout is above 0.
	Timeout time.Duration
	// TargetLatency is added to the stretched critical path of a job to give the time that the job may take.
	TargetLatency time.Duration
	// Priority ranks the queues; 0 is the highest priority.
	Priority int
	// Backend is the name of the service whose workers run the tasks.
	Backend string
	// MaxRetries is the number of failures of a task at which its job fails; 0 if the configuration sets none.
	MaxRetries int
	// Extension is the factor by which the critical path of a job is stretched; 0 if the configuration sets none.
	Extension float64
	// Tenant is the tenant whose accelerator share the jobs count against; empty if there is none.
	Tenant string
}

// Service is a kind of worker.
type Service struct {
	Name, HealthCheck string
	// MaxConnections bounds the connections to one worker; 0 if the configuration sets none.
	MaxConnections int
	Protocol       string
	TLS            bool
	// Preconditions is true if the workers reject starts for which they have no room.
	Preconditions bool
}

// Limits bounds what clients may send. All values are above 0.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are in bytes.
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Quotas are the accelerators that tenants are promised.
type Quotas struct {
	Tenants []Tenant
	// Pool is the total number of accelerators, if Pooled is true. Otherwise the configuration doesn't set it.
	Pool   int64
	Pooled bool
}

// Tenant is a tenant with promised accelerators.
type Tenant struct {
	Name string
	// Accelerators is how many accelerators the tenant's tasks may take at a time. A share of the pool is rounded down.
	Accelerators int64
}

// Service returns the service with the given name; ok is false if there is none. It searches linearly: use Router.Service on hot paths.
func (c *Config) Service(name string) (service *Service, ok bool) {
	for index := range c.Services {
		if c.Services[index].Name == name {
			return &c.Services[index], true
		}
	}
	return nil, false
}
