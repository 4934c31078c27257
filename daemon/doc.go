// Package daemon wires the parts of a daemon together, serves callers, other
// daemons and operators, and shuts down gracefully.
package daemon
