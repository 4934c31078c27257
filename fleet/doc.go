// Package fleet tracks the running daemons. Daemons exchange heartbeats in UDP
// datagrams, which also carry the versions of their copy of the store. The
// package also selects the daemons that serve callers.
package fleet
