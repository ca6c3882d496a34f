package clusterconfig

import "github.com/mailru/easyjson"

//go:generate easyjson -no_std_marshalers wire.go

// wireConfig is the JSON form of a configuration. Numbers may have a fraction, and nothing is checked.
//
//easyjson:json
type wireConfig struct {
	Version  easyjson.RawMessage `json:"version"`
	Routes   []wireRoute         `json:"routes"`
	Services []wireService       `json:"services"`
	Limits   wireLimits          `json:"limits"`
	// Accelerators is the size of the pool that shares refer to; nil if it isn't set.
	Accelerators *float64     `json:"accelerators"`
	Tenants      []wireTenant `json:"tenants"`
}

// wireTenant sets either Share or Accelerators.
//
//easyjson:json
type wireTenant struct {
	Name         string   `json:"name"`
	Share        *float64 `json:"share"`
	Accelerators *float64 `json:"accelerators"`
}

//easyjson:json
type wireRoute struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Type            string  `json:"type"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	Priority        float64 `json:"priority"`
	Backend         string  `json:"backend"`
	MaxRetries      float64 `json:"maxRetries"`
	Extension       float64 `json:"extension"`
	Tenant          string  `json:"tenant"`
}

//easyjson:json
type wireService struct {
	Name           string  `json:"name"`
	HealthCheck    string  `json:"healthCheck"`
	MaxConnections float64 `json:"maxConnections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	Preconditions  bool    `json:"preconditions"`
}

//easyjson:json
type wireLimits struct {
	MaxHeaderBytes  float64 `json:"maxHeaderBytes"`
	MaxBodyBytes    float64 `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}
