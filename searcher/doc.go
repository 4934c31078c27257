// Package searcher speaks the target protocol. A Target is the seam that homes
// use, so that another protocol needs only another adapter; HTTP is the
// adapter for the protocol of the design page, section 5. The package owns the
// connections to searchers and keeps their number within the cap exactly.
package searcher
