// Package invariant checks at run time what must always hold. A violation is
// counted and logged in production and ends the program in tests.
package invariant
