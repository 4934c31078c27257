// Package cell maintains the membership of a cell of daemons, assigns each replica
// group a home among them, and distributes the configuration to them.
//
// The daemons coordinate through one object in the platform's store, which the
// elected leader writes with conditional updates. Each write that changes the
// membership starts a new epoch. These rules prevent two daemons from using the full
// share of one group at the same time:
//
//   - The leader grants a member a lease of 3 s from the time the heartbeat was sent.
//     It grants leases only to members that are at its epoch and only while its own
//     lease in the store is valid.
//   - All members compute homes from the same inputs. An epoch carries the digest of
//     the part of the catalogue that affects homes. A member whose catalogue differs
//     stays at the previous epoch until the catalogue has arrived.
//   - A home that is new in an epoch has the reserved share until the epoch is
//     settled. An epoch is settled once each possible home of an earlier epoch has
//     acknowledged that its homes stopped, or its lease has expired and it cannot
//     have a lease from a majority. A single group is settled earlier if its only
//     earlier home confirms that it stopped.
//   - Without a leader, a majority of the members that knows no later epoch extends
//     leases. A later epoch settles only after a majority of its base, the members of
//     the last settled epoch, has acknowledged it. The two majorities share a daemon,
//     which no longer extends the lease.
//   - A leader that gets heartbeats only from a minority lets a member that reaches a
//     majority take over, and settles nothing in the meantime.
//
// TestRandomRun checks these rules under combined faults. To run more seeds:
//
//	MEDLARYARD_SEEDS=1000 go test -run TestRandomRun ./cell
//	MEDLARYARD_SEED=1047 go test -run TestRandomRun ./cell
package cell
