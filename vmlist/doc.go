// Package vmlist reads the platform's list of VMs. The list lags behind the
// actual state, so it only speeds up what health checks and heartbeats decide.
package vmlist
