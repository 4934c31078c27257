// Package route holds the configuration of the query tier in force: which
// service answers a path, what may be repeated and how long a caller waits.
package route
