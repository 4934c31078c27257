// Package clientload tests that untrusted clients cannot end a daemon. Its tests
// start "medlaryard node" as a process of its own on loopback addresses, with a
// stand-in of the platform's store and a target, and send requests that are large,
// incomplete or endless over a fixed number of connections. They check that the
// process lives, that its memory and its descriptors stay under a bound and that a
// usual request is answered afterwards.
package clientload
