// Package catalogue models the estate that operators declare: owners, failure
// domains, services with their shards and searchers, and version moves.
// Values are immutable once built and safe for concurrent use.
package catalogue
