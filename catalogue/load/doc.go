// Package load reads catalogue texts from files, and joins several files into
// the one text that the store holds.
package load
