// Package once keeps the identifiers of non-idempotent requests, so that each
// runs at most once and "not run" stays true.
//
// A request is identified by owner, identifier and the incarnation in its
// ticket; a resend carries the ticket of the first send. An identifier that was
// refused "not run" is spent: a delayed copy of the same send must not run
// after the caller was told that it did not.
package once
