package clusterconfig

import (
	"cmp"
	"slices"
	"strings"
)

// Router finds routes and services of one configuration. It never changes and may be used by any number of goroutines.
type Router struct {
	config   *Config
	hosts    map[string][]*Route
	services map[string]*Service
}

// NewRouter makes the router of a configuration.
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

// Config is the configuration that the router was made of.
func (r *Router) Config() *Config { return r.config }

// Match finds the route of a request: the one of the host (in any case, with or without a port) with the longest prefix with
// which the path begins. The rest is what follows the prefix. ok is false when there is no such route.
func (r *Router) Match(host, path string) (route *Route, rest string, ok bool) {
	for _, candidate := range r.hosts[NormalizeHost(host)] {
		if after, begins := strings.CutPrefix(path, candidate.PathPrefix); begins {
			return candidate, after, true
		}
	}
	return nil, "", false
}

// Service finds a service by its name; ok is false when there is none.
func (r *Router) Service(name string) (service *Service, ok bool) {
	service, ok = r.services[name]
	return service, ok
}

// NormalizeHost is the host of a Host header as routes are compared by it: in lower case and without a port. It allocates
// only when there is a letter to be changed.
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
