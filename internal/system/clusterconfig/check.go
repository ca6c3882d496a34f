package clusterconfig

import (
	"strings"

	"gaugeslip/internal/system/findings"
)

// check verifies the references and the uniqueness rules between the parts of a configuration.
func check(config *Config, found *findings.Findings) {
	services := checkServices(config.Services, found)
	tenants := checkTenants(&config.Quotas, found)
	names := make(map[string]int, len(config.Routes))
	prefixes := make(map[[2]string]int, len(config.Routes))
	for index := range config.Routes {
		route := &config.Routes[index]
		checkMatchRule(index, route, prefixes, found)
		checkName(index, route, names, found)
		if _, known := services[route.Backend]; !known {
			found.Add(findings.Item("routes", index, "backend"), "unknown service %q", route.Backend)
		}
		if _, known := tenants[route.Tenant]; !known && route.Tenant != "" {
			found.Add(findings.Item("routes", index, "tenant"), "unknown tenant %q", route.Tenant)
		}
	}
}

func checkServices(services []Service, found *findings.Findings) map[string]int {
	seen := make(map[string]int, len(services))
	for index := range services {
		name := services[index].Name
		if first, duplicate := seen[name]; duplicate {
			found.Add(findings.Item("services", index, "name"), "%q is also the name of services[%d]", name, first)
			continue
		}
		seen[name] = index
	}
	return seen
}

func checkMatchRule(index int, route *Route, prefixes map[[2]string]int, found *findings.Findings) {
	if route.Host == "" {
		found.Add(findings.Item("routes", index, "host"), "is empty")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		found.Add(findings.Item("routes", index, "pathPrefix"), "%q doesn't begin with a slash", route.PathPrefix)
	}
	key := [2]string{route.Host, route.PathPrefix}
	if first, duplicate := prefixes[key]; duplicate {
		found.Add(findings.Item("routes", index, ""), "has the host and pathPrefix of routes[%d]", first)
		return
	}
	prefixes[key] = index
}

func checkName(index int, route *Route, names map[string]int, found *findings.Findings) {
	if route.Name == "" {
		return
	}
	if first, duplicate := names[route.Name]; duplicate {
		found.Add(findings.Item("routes", index, "name"), "%q is also the name of routes[%d]", route.Name, first)
		return
	}
	names[route.Name] = index
}
