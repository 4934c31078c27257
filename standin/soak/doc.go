// Package soak tests daemons under faults. [Run] starts daemons as separate
// processes on one machine, with stand-ins for the platform's store and the
// targets, and sends requests to them from several callers. Meanwhile it injects
// random faults that overlap: signals, slow or broken connections, and failures of
// the store and the targets. It checks the responses and the runs on the targets
// against the guarantees in docs/platform.md.
package soak
