// Package load reads catalogue files and joins them into the single text that
// is kept in the store.
package load
