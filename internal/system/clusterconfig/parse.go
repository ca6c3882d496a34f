package clusterconfig

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/findings/jsonread"
	"gaugeslip/internal/system/findings/quantity"
)

// Parse reads and checks a whole configuration. The error holds findings.Findings, all of them. Members that it doesn't know
// are skipped: who has to hand the configuration out again unchanged keeps the body.
func Parse(body []byte) (*Config, error) {
	var wire wireConfig
	found := jsonread.Object(body, &wire)
	if len(found) == 0 && !json.Valid(body) {
		found.Add("", "is not valid JSON")
	}
	if len(found) > 0 {
		return nil, found
	}
	reader := reader{}
	config := reader.config(&wire)
	check(config, &reader.found)
	if err := reader.found.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

// CheckNext checks that next may follow current, which is nil when there is no configuration yet. The error holds
// findings.Findings.
func CheckNext(current, next *Config) error {
	if current == nil || next.Version > current.Version {
		return nil
	}
	var found findings.Findings
	found.Add("version", "%d is not higher than the current %d", next.Version, current.Version)
	return found
}

// reader turns what the operator wrote into the types that the programs use, and takes note of the figures that can't be.
type reader struct {
	found findings.Findings
}

func (r *reader) config(wire *wireConfig) *Config {
	config := &Config{
		Version:  r.version(wire.Version),
		Routes:   make([]Route, len(wire.Routes)),
		Services: make([]Service, len(wire.Services)),
		Limits:   r.limits(&wire.Limits),
	}
	for index := range wire.Routes {
		config.Routes[index] = r.route(index, &wire.Routes[index])
	}
	for index := range wire.Services {
		config.Services[index] = r.service(index, &wire.Services[index])
	}
	config.Quotas = r.quotas(wire)
	return config
}

func (r *reader) version(written []byte) int64 {
	if len(written) == 0 || string(written) == "null" {
		r.found.Add("version", "is missing")
		return 0
	}
	version, err := strconv.ParseInt(string(written), 10, 64)
	if err != nil {
		figure, notFigure := strconv.ParseFloat(string(written), 64)
		whole, ok := quantity.Integer(figure)
		if notFigure != nil || !ok {
			r.found.Add("version", "%.40s is not a whole number", written)
			return 0
		}
		version = whole
	}
	if version <= 0 {
		r.found.Add("version", "%d is not above 0", version)
	}
	return version
}

func (r *reader) route(index int, wire *wireRoute) Route {
	at := item{list: "routes", index: index}
	return Route{
		Name:          wire.Name,
		Host:          NormalizeHost(wire.Host),
		PathPrefix:    wire.PathPrefix,
		Type:          wire.Type,
		Timeout:       r.timeout(at, wire.TimeoutMs),
		TargetLatency: r.milliseconds(at, "targetLatencyMs", wire.TargetLatencyMs),
		Priority:      int(r.whole(at, "priority", wire.Priority)),
		Backend:       wire.Backend,
		MaxRetries:    int(r.whole(at, "maxRetries", wire.MaxRetries)),
		Extension:     r.figure(at, "extension", wire.Extension),
		Tenant:        wire.Tenant,
	}
}

func (r *reader) service(index int, wire *wireService) Service {
	at := item{list: "services", index: index}
	return Service{
		Name:           wire.Name,
		HealthCheck:    wire.HealthCheck,
		MaxConnections: int(r.whole(at, "maxConnections", wire.MaxConnections)),
		Protocol:       wire.Protocol,
		TLS:            wire.TLS,
		Preconditions:  wire.Preconditions,
	}
}

func (r *reader) limits(wire *wireLimits) Limits {
	at := item{list: "limits", index: noIndex}
	limits := Limits{
		MaxHeaderBytes: r.whole(at, "maxHeaderBytes", wire.MaxHeaderBytes),
		MaxBodyBytes:   r.whole(at, "maxBodyBytes", wire.MaxBodyBytes),
		HeaderTimeout:  r.milliseconds(at, "headerTimeoutMs", wire.HeaderTimeoutMs),
		IdleTimeout:    r.milliseconds(at, "idleTimeoutMs", wire.IdleTimeoutMs),
	}
	limits.MaxHeaderBytes = orDefault(limits.MaxHeaderBytes, DefaultMaxHeaderBytes)
	limits.MaxBodyBytes = orDefault(limits.MaxBodyBytes, DefaultMaxBodyBytes)
	limits.HeaderTimeout = orDefault(limits.HeaderTimeout, DefaultHeaderTimeout)
	limits.IdleTimeout = orDefault(limits.IdleTimeout, DefaultIdleTimeout)
	return limits
}

func (r *reader) timeout(at item, figure float64) time.Duration {
	if figure <= 0 {
		r.found.Add(at.place("timeoutMs"), "%v is not above 0", figure)
		return 0
	}
	return max(1, quantity.Milliseconds(figure))
}

func (r *reader) milliseconds(at item, field string, figure float64) time.Duration {
	return quantity.Milliseconds(r.figure(at, field, figure))
}

func (r *reader) whole(at item, field string, figure float64) int64 {
	whole, ok := quantity.Integer(math.Max(0, r.figure(at, field, figure)))
	if !ok {
		r.found.Add(at.place(field), "%v is not a whole number", figure)
	}
	return whole
}

func (r *reader) figure(at item, field string, figure float64) float64 {
	if figure < 0 {
		r.found.Add(at.place(field), "%v is negative", figure)
	}
	return figure
}

func orDefault[T int64 | time.Duration](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}

// item is an item of a list of the document, or a single object when it has no index.
type item struct {
	list  string
	index int
}

const noIndex = -1

func (i item) place(field string) string {
	if i.index == noIndex {
		return i.list + "." + field
	}
	return findings.Item(i.list, i.index, field)
}
