// Package cell agrees with the other daemons of the cell on who is a member and
// which daemon is home of each replica group, and spreads the configuration.
//
// All agreement goes through one object in the platform's store, written by the
// keeper with conditional updates. Each write of new members is an epoch. The
// rules that keep homes apart are:
//
//   - The keeper grants a member lease of 3 s from the time the heartbeat was
//     sent, only to members that are at its epoch and only while its own lease
//     in the store holds.
//   - All members compute homes from the same inputs: an epoch carries the
//     digest of what the catalogue contributes, and a member whose catalogue
//     differs stays at the epoch before until the catalogue has arrived.
//   - A home that is new with an epoch has the reserved share until the epoch is
//     settled: each holder of an earlier epoch has acknowledged that its homes
//     stopped, or its lease has lapsed and it cannot hold one from a majority.
//     A confirmed release by the only earlier home settles single groups.
//   - Without a keeper, a majority of the members that knows no later epoch
//     extends leases. A later epoch is settled only after a majority of its base,
//     the members of the last settled epoch, has acknowledged it. The two
//     majorities share a daemon, which no longer extends the lease.
//   - A keeper that hears only a minority lets a member that reaches a majority
//     take over, and settles nothing meanwhile.
//
// TestRandomRun checks these rules with all kinds of faults at once. More seeds:
//
//	MEDLARYARD_SEEDS=1000 go test -run TestRandomRun ./cell
//	MEDLARYARD_SEED=1047 go test -run TestRandomRun ./cell
package cell
