// Package refusal defines the kinds of errors that callers, daemons and counters use.
// The list is closed. A table maps each kind to the HTTP status, the statement whether
// the request ran and the retry advice that a caller receives. Package reference
// generates docs/errors.md from the table and the doc comments of the kinds.
package refusal
