// Package meter counts what the daemon does, in one go-metrics registry, and
// renders the registry as text that common scrapers read.
package meter
