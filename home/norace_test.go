//go:build !race

package home

// raceEnabled reports whether the race detector is on; the tests then run about
// ten times slower.
const raceEnabled = false
