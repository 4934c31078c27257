//go:build race

package home

// raceDetector is set when the tests run about ten times slower.
const raceDetector = true
