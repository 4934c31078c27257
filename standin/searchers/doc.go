// Package searchers stands in for search back ends that speak the target
// protocol of docs/platform-protocols.md, with faults that change at run time
// and records by which tests check what the back ends experienced. Product
// code does not import it.
package searchers
