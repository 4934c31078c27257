// Package vmlist polls the platform's list of VMs over HTTP and keeps the
// last reply. The list lags behind the actual state, so it only speeds up decisions
// that health checks and heartbeats would also reach.
package vmlist
