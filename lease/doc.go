// Package lease holds the terms on which a daemon may act as home of a replica
// group.
package lease
