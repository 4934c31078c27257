package main

import "time"

// Names in the platform's store.
const (
	kindConfig  = "config"
	kindServers = "servers"
)

// hostName is the host of all routes.
const hostName = "pupu76.example"

// maxBodyBytes is the limit on a request's body in the configuration.
const maxBodyBytes = 262144

type routeSpec struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path_prefix"`
	Class       string `json:"route_class"`
	TimeoutMS   int64  `json:"timeout_ms"`
	ObjectiveMS int64  `json:"target_latency_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service,omitempty"`
	MaxAttempts int    `json:"max_attempts"`

	Gather      []string `json:"gather,omitempty"`
	TopK        int      `json:"top_k,omitempty"`
	MinCoverage float64  `json:"min_coverage,omitempty"`
}

type serviceSpec struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_path"`
	MaxConnections int     `json:"max_connections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls_enabled"`
	WarmUpS        float64 `json:"warmup_s"`
	WarmUpPerS     float64 `json:"warmup_per_s"`
}

type limitsSpec struct {
	HeaderBytes int   `json:"max_header_bytes"`
	BodyBytes   int   `json:"max_body_bytes"`
	HeaderMS    int64 `json:"header_timeout_ms"`
	IdleMS      int64 `json:"idle_timeout_ms"`
}

type configSpec struct {
	Version  uint64        `json:"version"`
	Routes   []routeSpec   `json:"routes"`
	Services []serviceSpec `json:"services"`
	Limits   limitsSpec    `json:"limits"`
}

// newConfig returns a configuration with one service and a route for each class.
func newConfig(service string, maxConnections int, timeout, objective time.Duration) configSpec {
	route := func(name, prefix, class string) routeSpec {
		return routeSpec{
			Name: name, Host: hostName, Prefix: prefix, Class: class, TimeoutMS: timeout.Milliseconds(),
			ObjectiveMS: objective.Milliseconds(), Priority: 1, Service: service, MaxAttempts: 2,
		}
	}
	return configSpec{
		Version:  7,
		Routes:   []routeSpec{route("r-read", "/read/", "idempotent"), route("r-once", "/once/", "non_idempotent")},
		Services: []serviceSpec{{Name: service, HealthPath: "/healthz", MaxConnections: maxConnections, Protocol: "h1", WarmUpS: 3}},
		Limits:   limitsSpec{HeaderBytes: 16384, BodyBytes: maxBodyBytes, HeaderMS: 3000, IdleMS: 15000},
	}
}

type serverSpec struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Slots        int    `json:"max_concurrency"`
	State        string `json:"state"`
	WarmUpLeftMS int64  `json:"warmup_left_ms"`
	Sequence     int64  `json:"sequence"`
	Born         int64  `json:"born"`
}
