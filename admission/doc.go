// Package admission refuses requests early: over the limits of their owner,
// class or service, or because equal requests crashed searchers.
//
// Limits in the catalogue hold over all daemons. Each entry applies an equal
// part of them, so no call to another daemon is needed per request.
package admission
