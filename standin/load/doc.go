// Package load sends requests to the callers' interface at a fixed rate,
// whatever the answers (open loop), and checks the answers. Product code does
// not import it.
package load
