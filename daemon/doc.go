// Package daemon runs one daemon of the query tier. It builds the parts (cell
// membership, homes, entry, version moves, outcome tables), connects them, and serves
// three listeners: callers, peers (the other daemons of the cell) and operators.
//
// Run starts a daemon and returns after its graceful shutdown. Queries read a view, a
// snapshot of catalogue and membership without locks, which is rebuilt when the cell
// changes.
package daemon
