// Package diff compares two estates and formats their differences, one per line.
package diff
