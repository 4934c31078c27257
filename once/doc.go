// Package once records the identifiers and outcomes of non-idempotent requests.
// Each request runs at most once, and one with the outcome "not run" never runs
// later.
//
// A request is identified by its owner, its identifier and the incarnation in its
// ticket. A resend carries the ticket of the first send. An identifier with the
// outcome "not run" cannot be used again: a delayed copy of the same send must not
// run after the caller got that outcome. Only a home forgets such an identifier,
// so that the entry may send the request to it again.
//
// A daemon has two tables. The entry's table holds the requests whose tickets name
// this incarnation. The home's table holds the requests that entries relayed to
// it, and is used through a Guard. A Responder answers other daemons that ask for
// outcomes in either table.
package once
