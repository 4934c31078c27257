// Package invariant checks invariants at run time. A violation is counted and logged in
// production and panics in tests.
package invariant
