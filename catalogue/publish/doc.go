// Package publish reads and updates the store object catalogue/current, which
// holds the catalogue in force. Every change is a conditional update with
// generation = previous + 1 and a unique token. Concurrent operators therefore
// cannot overwrite each other's changes, and the outcome of an update whose
// reply was lost is found by reading the object back.
package publish
