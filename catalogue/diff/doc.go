// Package diff states in readable lines how two estates differ.
package diff
