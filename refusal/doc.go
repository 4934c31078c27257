// Package refusal defines the kinds of errors that callers, daemons and counters use.
// The list is closed. For each kind, a table gives the HTTP status, whether the request
// ran, and the advice on retrying. Package reference generates docs/errors.md from the
// table and the doc comments of the kinds.
package refusal
