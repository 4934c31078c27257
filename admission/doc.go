// Package admission refuses requests early: over the limits of their owner,
// class or service, or because equal requests crashed searchers.
//
// Limits in the catalogue hold over all daemons. Each entry applies an equal
// part of them, so no call to another daemon is needed per request.
//
// # Bound on crashes
//
// Equal requests have the same fingerprint. Each daemon keeps the strikes of
// fingerprints and tells new ones to the other daemons of the cell, beside the
// answer. What one fingerprint may crash within strikeTime is bounded as follows.
//
//   - A caller that resends after each answer, and not sooner than the strike
//     takes to arrive, crashes searchers in two rounds, whichever daemons it
//     sends to: the first fan-out, which may crash one searcher of each shard, and
//     one run as a suspect, which risks the other shards only after one has
//     survived it.
//   - The homes of one daemon run a fingerprint unmarked until its first crash
//     there and as a suspect until the second one, even if no strike arrives. So
//     daemons that do not hear each other bear two rounds each.
//   - Requests that are in flight at the first crash, or reach a daemon before the
//     strike does, count as the first round. Their number is not bounded here:
//     callers that send the same request at the same time through several entries
//     crash up to one searcher for each of these requests and each of its shards.
//   - A daemon runs the suspect requests of one query at a time. Suspect queries
//     of several callers overlap only at different daemons: at the homes of several
//     groups of a shard, or at the home and an acting home of one group. Each of
//     these daemons bears one run.
//
// A strike that finds no room in the queue or a daemon that missed it is repeated
// every 10 s.
package admission
