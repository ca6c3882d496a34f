package clusterconfig

import (
	"cmp"
	"slices"
	"strings"
)

// Router finds the routes and services of one configuration. It is immutable and safe for concurrent use.
type Router struct {
	config   *Config
	hosts    map[string][]*Route
	services map[string]*Service
}

// NewRouter returns the router for a configuration.
func NewRouter(config *Config) *Router {
	router := &Router{
		config:   config,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(config.Services)),
	}
	for index := range config.Routes {
		route := &config.Routes[index]
		router.hosts[route.Host] = append(router.hosts[route.Host], route)
	}
	for _, routes := range router.hosts {
		slices.SortFunc(routes, longestFirst)
	}
	for index := range config.Services {
		service := &config.Services[index]
		router.services[service.Name] = service
	}
	return router
}

// Config returns the configuration of the router.
func (r *Router) Config() *Config { return r.config }

// Match returns the route of a request: among the routes of the host (in any case, with or without a port), the one with the longest prefix
// of the path. rest is the part of the path after the prefix. ok is false if no route matches.
func (r *Router) Match(host, path string) (route *Route, rest string, ok bool) {
	for _, candidate := range r.hosts[NormalizeHost(host)] {
		if after, begins := strings.CutPrefix(path, candidate.PathPrefix); begins {
			return candidate, after, true
		}
	}
	return nil, "", false
}

// Service returns the service with the given name; ok is false if there is none.
func (r *Router) Service(name string) (service *Service, ok bool) {
	service, ok = r.services[name]
	return service, ok
}

// NormalizeHost converts a Host header to the form in which routes are compared: in lower case and without a port. It allocates only if
// the host has upper-case letters.
func NormalizeHost(host string) string {
	return strings.ToLower(withoutPort(host))
}

func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 {
		return host
	}
	if bracket := strings.LastIndexByte(host, ']'); bracket > colon {
		return host
	}
	return host[:colon]
}

func longestFirst(a, b *Route) int {
	if byLength := cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)); byLength != 0 {
		return byLength
	}
	return cmp.Compare(a.PathPrefix, b.PathPrefix)
}
