// Package lease defines the shares of a replica group's budgets that a daemon may use
// as home of the group or as a stand-in for its home.
package lease
