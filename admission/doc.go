// Package admission refuses requests before they reach a home: requests over
// the limits of their owner, class or service, and requests equal to ones that
// crashed searchers.
//
// The limits in the catalogue hold for all daemons together. Each entry applies
// an equal part of them, so a request needs no call to another daemon.
//
// # Bound on crashes
//
// Equal requests have the same fingerprint. A strike is the record of a crash
// under a fingerprint. A request whose fingerprint has crashed searchers once is
// a suspect and runs without hedges and retries. Each daemon keeps a table of
// strikes and sends new ones to the other daemons of its cell, without delaying
// the reply to the caller. The number of crashes under one fingerprint within
// strikeTTL is bounded as follows.
//
//   - Sequential resends: a caller that resends after each reply, and only after
//     the strike has arrived, crashes searchers in two rounds, whichever daemons it
//     sends to. The first round is the first fan-out, which may crash one searcher
//     of each shard. The second round is one run as a suspect, which reaches the
//     other shards only after one has survived it.
//   - Lost strikes: the homes of one daemon run a fingerprint without the mark
//     of a suspect until its first crash there, and as a suspect until the second
//     one, even if no strike arrives. So each daemon that receives no strikes from
//     the others adds two rounds.
//   - Concurrent requests: requests that are in flight at the first crash, or that
//     reach a daemon before the strike does, count as the first round. Their number
//     is not bounded here: callers that send the same request at the same time
//     through several entries crash up to one searcher for each of these requests
//     and each of its shards.
//   - Concurrent suspects: a daemon runs the suspect requests of one query at a
//     time. Suspect queries of several callers overlap only at different daemons:
//     at the homes of several groups of a shard, or at the home and an acting home
//     of one group. Each of these daemons adds one run.
//
// # Requests that were only in flight
//
// The second round counts as a proof only if the other searchers of the group survived it;
// otherwise it adds to the doubts about the request, and an answer clears it. Suspects.Judge
// weighs a crash, Suspects.Admit decides on trials where many daemons may send to a target.
//
// A strike that was dropped because the queue was full, or that a daemon
// missed, is sent again every 10 s.
package admission
