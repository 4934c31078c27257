// Package objects stands in for the platform's object store, in memory, with
// faults that tests inject. Product code does not import it.
package objects
