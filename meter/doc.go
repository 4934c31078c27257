// Package meter records the daemon's metrics in the default go-metrics registry
// and renders the registry in the Prometheus text format. All functions are
// safe for concurrent use. Metrics are created on first use.
package meter
