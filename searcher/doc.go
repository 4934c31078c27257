// Package searcher is the client side of the protocol between homes and
// searchers.
//
// Homes depend only on Target, so another protocol needs only another adapter.
// HTTP is the adapter for the HTTP/1.1 protocol described in section 5 of the
// design page. A Call ends with a checked Reply, or with a Failure that states
// what went wrong at the searcher and whether the request ran.
//
// The package owns the connections to each searcher and never opens more than
// the configured maximum.
package searcher
