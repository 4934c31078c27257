// Package soak runs daemons as separate processes on one machine, injects faults
// from outside them in series that overlap, and checks what callers and targets
// see against the promises of docs/platform.md.
package soak
