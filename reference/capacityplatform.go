package reference

// capacityPlatform is the section of docs/CAPACITY.md about the daemon on the users'
// platform. Its figures are from the users' bench, the sweep of tamasha-yard-grown on
// 2026-12-04 over one day with 30, 100 and 300 daemons.
const capacityPlatform = `
## The daemon on the platform

Everything above is about the relay of the product's own interface. This section is about "medlaryard node" ([platform.md](platform.md)), which sends to targets directly: 18 daemons at most serve callers, the others stand by. The users' bench played one day at three sizes and carries the growth of the busiest daemon on to 3,492 (a power of the number of daemons, from its last three sizes; not played). All rules were kept, and the day with 300 daemons is worth 1.04 times that with 30 (0.604 and 0.583).

| Busiest daemon | 30 | 100 | 300 | Power | At 3,492 | Limit for control |
|---|---|---|---|---|---|---|
| Processor, % of a core, all work | 10.5 | 4.2 | 10.3 | 0 | 10.3 | 1.9 |
| Memory, MB | 17.6 | 20.9 | 53.1 | 0.47 | 170 | 64 |
| Traffic, kB/s, all work | 263 | 446 | 1,222 | 0.66 | 6,227 | 12 |
| Wake-ups a second | 275 | 306 | 276 | 0 | 277 | |
| Connections | 451 | 518 | 1,780 | 0.59 | 7,548 | |
| Configuration in force, ms | 0 | 265 | 418 | 0.93 | 4,093 | 4,000 |
| Target that leaves gets nothing more, ms | 15 | 2,296 | 1,434 | | | |
| Serving after all were killed, ms | 500 | 500 | 2,000 | | | |

The middle daemon of 300, which stands by, takes 6.3% of a core, 11.4 MB and 10.5 kB/s.

| Role | State | Messages | Carried by |
|---|---|---|---|
| Serving daemon | connections to all targets in use, budgets, estimates of each target | heartbeat to the others that serve each 300 ms and to those that stand by each 600 ms; changes of the store to whoever asks | fleet.Select bounds their number |
| Daemon that stands by | copy of the store | fetches changes from a serving one, at most each 600 ms | mirror.Fetch, compressed |
| Watching daemon | the same | five watches and a cheap call each 600 ms | the first by name of those that reach the store |

What does not fit at the size of two years from now:

- **18 serving daemons** cannot carry 2.4 million queries a second. Their number is bounded because targets accept about 60 connections and each serving daemon needs three. Daemons have to be divided into cells that share the targets of a region, so that each target sees the daemons of its cell only.
- **Heartbeats** from each serving daemon to all others grow with the fleet: 5,800 datagrams a second at 3,500 daemons. They have to stay within a cell.
- **The copy of the store** is whole on every daemon: 65,000 entries of 250 bytes are 16 MB, read in 130 pages or more after a loss of power. It has to be divided by cell too; serving 2 s after all were killed at 300 daemons shows that it is the first limit to be met.
`
