// Package searchers simulates search back ends that serve the target protocol of
// docs/platform-protocols.md, for tests and trials.
//
// A Searcher serves one shard of a Corpus, whose documents and scores follow from
// a seed, so that tests can compute the reference answer. It models slots, a
// queue, a connection limit, service times and cold starts. Faults can be changed
// at run time, and a Record counts what the searcher received and did. A Fleet
// holds all searchers of a process; an Admin controls it over HTTP. Product code
// does not import this package.
package searchers
