package reference

// capacityPlatform is the section of docs/CAPACITY.md about the daemon on the users'
// platform. Its figures are from the users' bench, the sweep of haneul-yard-large on
// 2026-12-05 over one day with 34, 100 and 301 daemons.
const capacityPlatform = `
## The daemon on the platform

Everything above is about the relay of the product's own interface and rests on earlier slopes. This section is about "medlaryard node" ([platform.md](platform.md)), which sends to targets directly. At most 18 daemons serve callers; the others are on standby. "fleetbench sweep" of haneul-yard-large played one day with 34, 100 and 301 daemons, on code of 2026-12-05 (f4e3cd7), beside other runs on the same machine. It extrapolates the values of the busiest daemon to 3,492 daemons by a power of the number of daemons; no run had 3,492 daemons. No rule was broken. The worth of the day is 0.613, 0.664 and 0.721.

| Busiest daemon | 34 | 100 | 301 | Power | At 3,492 | Limit for control |
|---|---|---|---|---|---|---|
| Processor, % of a core, all work | 16.1 | 20.6 | 14.5 | -0.04 | 14.5 | 1.9 |
| Memory, MB | 25.1 | 29.6 | 57.1 | 0.35 | 136 | 64 |
| Traffic, kB/s, all work | 192 | 495 | 1,206 | 0.8 | 8,547 | 12 |
| Wake-ups a second | 203 | 330 | 353 | 0.24 | 641 | |
| Connections | 807 | 1,036 | 1,451 | 0.25 | 2,707 | |
| New connections to targets a second | 65.7 | 63.5 | 126 | 0.28 | 250 | |
| Configuration acknowledged, ms | 299 | 321 | 404 | 0.13 | 555 | 4,000 |
| Leaving target acknowledged, ms | 8 | 7 | 7 | 0 | 7 | |
| Next acknowledgement after the loss of a daemon, ms | 974 | 826 | 1,201 | 0.09 | 1,488 | |
| Callers served after all daemons were killed, ms | 500 | 1,000 | 1,500 | 0.48 | 4,857 | |
| Callers served after a failure domain was lost, ms | 500 | 0 | 500 | -0.03 | 500 | |

| Median daemon, which is on standby | 34 | 100 | 301 |
|---|---|---|---|
| Processor, % of a core | 5.6 | 5.4 | 8.0 |
| Memory, MB | 9.6 | 9.8 | 12.2 |
| Traffic, kB/s | 6.5 | 6.1 | 8.4 |

The same for tamasha-yard-now-grown, with client accounts and usage reports, on code of 2026-12-07 (7c9c08f), x86-64, with 31, 102 and 300 daemons, beside other runs. No rule was broken; the worth of the day is 0.524, 0.578 and 0.484, and 0.892, 0.932 and 0.898 of the requests were served.

| Busiest daemon | 31 | 102 | 300 | Power | At 3,492 | Limit for control |
|---|---|---|---|---|---|---|
| Processor, % of a core, all work | 11.6 | 5.6 | 15.5 | 0.11 | 20.4 | 1.9 |
| Memory, MB | 16.9 | 23.1 | 54.1 | 0.5 | 185 | 64 |
| Traffic, kB/s, all work | 247 | 491 | 1,711 | 0.84 | 13,313 | 12 |
| Wake-ups a second | 280 | 334 | 330 | 0.07 | 394 | |
| Connections | 372 | 502 | 1,744 | 0.66 | 8,905 | |
| New connections to targets a second | 35.2 | 44.4 | 163 | 0.66 | 821 | |
| Configuration in force, ms | 294 | 0 | 242 | -0.11 | 242 | 4,000 |
| Leaving target acknowledged, ms | 6 | 5 | 5 | 0 | 5 | |
| Next acknowledgement after the loss of a daemon, ms | 772 | 1,021 | 1,129 | 0.17 | 1,697 | |
| Callers served after all daemons were killed, ms | 1,000 | 500 | 500 | -0.31 | 500 | |

The median daemon, on standby, takes 4.3, 5.0 and 8.5% of a core, 7.9, 8.1 and 12.4 MB and 5.8, 7.3 and 13.2 kB/s.

The store got 283, 448 and 882 calls in the 39 s of the day on haneul-yard-large: 2.2 for each further daemon, most of them at its start. At 3,492 daemons that is about 8,000 calls, or 205 a second, of 2,000 reads.

| Role | State | Messages | Implementation |
|---|---|---|---|
| Serving daemon | connections to all targets in use, budgets, estimates of each target | heartbeats every 300 ms to the other serving daemons and every 600 ms to those on standby; changes of the store to daemons that request them | fleet.Select bounds the number of serving daemons |
| Serving daemon, placement by cost | 64 kinds for each route and the route itself, 3.6 KB each (BenchmarkKind, 10.8 KB for three), 4.7 MB with 20 routes; 0.5 µs for each request (BenchmarkRequest, x86-64) | none | cost.Route forgets the least recently used kind |
| Serving daemon, placement by cost | for each service at most 1,024 waiting calls, 512 times at which refused requests come back, counts of 16 priorities | none | targets/admit.go, targets/shares.go |
| Daemon on standby | copy of the store | requests for changes to a serving daemon, at most every 600 ms | mirror.Fetch, compressed |
| Watching daemon | the same | five watches, which end after 1 to 5 s, and a ping of the store if 600 ms pass without an answer | the first by name of the daemons whose lists, watches and writes succeed |
| Daemon, copy of the store | for each kind, a log of changes of at most 64 KiB without values, and at most 64 ranges of versions; in the first 2.3 s of an era of the store, the objects that the older copy lacks | era and versions in heartbeats, 3 bytes more; in a new era all objects once, and one or two calls of the store for the own entry, spread over 0.5 s | mirror.changeLog, mirror.Eras |
| Daemon, with client accounts | 160 bytes for each key; 95 bytes more in the copy of the store for each key; turns of at most 256 accounts for each queue and priority, 20 kB; counters of 101 accounts | none of its own: the copy of the configuration is larger | account.Directory, targets.fairQueue |
| Daemon that counts, with usage reports | 55 bytes and the name for each account of 3 windows, at most 100,000 | at most each 250 ms to the holder and its successor, 50 bytes and 13 with the name for each account that has changed, at most 8 kB/s to each up to 600 accounts and 27 kB/s beyond; 30 bytes in each heartbeat | usage.Counter, usage.Outbox |
| Holder of the usage reports, and its successor | the same for each daemon that counts, at most 400,000 | those of all daemons that count; for each window one write of the store and one call of the cloud API | usage.Ledger, duty.Machine |

Usage reports: a count costs a request 0.26 µs with 18 daemons. All accounts of a window take 1.3 kB in a message with 80 accounts and 48 kB with 3,000. The counts of a window from 18 daemons take 0.1 MB at the holder with 80 accounts and 3.0 MB with 3,000, and 0.13 and 5.5 ms of processor time. These are benchmarks of package usage on one x86-64 machine beside other work.

With 5,000 accounts of two keys each, a configuration with 490 kB of accounts takes 950 kB in each copy, a daemon needs 50 ms of processor time to install it, and the watching daemon 0.3 ms for each list in which it has not changed. A lookup among 10,000 keys takes 0.13 µs, authentication with its header fields 0.5 µs of a request. The turns of accounts cost a call 0.1 µs in an empty queue and 3.5 µs in one with 50 calls. These are benchmarks of packages account, platform and targets on one x86-64 machine beside other work.

The limits are for control alone; the bench does not tell control from service, so the first and third row of the busiest daemon show all work. The median daemon serves no callers: what it needs is control, and its processor time is above the limit.

Limits that the size required in two years exceeds, and what would carry them:

- **18 serving daemons** cannot carry 2.4 million queries a second. Their number is bounded because targets accept about 60 connections and each serving daemon needs three. Daemons must be divided into cells that share the targets of a region, so that each target has connections only from the daemons of its cell.
- **Heartbeats** from each serving daemon to all others grow with the fleet: 5,800 datagrams a second at 3,500 daemons. They must stay within a cell.
- **Lists in pages** (by reckoning): 65,000 entries are 130 pages or more, 0.5 s at 4 ms a page, once in 8 s by the watching daemons. If the store changed meanwhile, one more call reads what changed. At 1 s a page such a list takes 130 s, more than the 10 s after which it is given up; the daemons keep their copy and rely on watches, and a daemon that starts needs another one. With 10 pages at 1 s each the window is 10 s, and the further call takes 1 s. Where changes between the pages cannot be read, each of 3,500 daemons gets the whole copy once, 3 MB compressed: 11 GB, 90 s of a link of 1 Gbit/s, if one daemon serves all.
- **The copy of the store** is complete on every daemon: 65,000 entries of 250 bytes are 16 MB, which a daemon reads in 130 pages or more after a power failure. It must be divided by cell too. With 301 daemons, it takes 1.5 s to serve again after all were killed.
- **Usage reports** go from each daemon that counts to two others. The traffic of the holder is bounded for 18 serving daemons only, and exceeds 12 kB/s there if more than 8 accounts change at each daemon all the time (90 kB/s with 80). With 3,500 daemons that count 80 accounts, a window takes 18 MB and 33 ms at the holder, and up to 14,000 calls a second arrive. Counts must be added up within a cell first, by an aggregator that names the sources in its sums; this is not built.
- **Memory** of the busiest daemon passes 64 MB between 301 and 3,492 daemons, because it keeps the whole copy and the estimates of all targets; cells bound both.
- **Processor time of standby daemons** is 8% of a core with 301 daemons. Its parts were not measured apart; heartbeats and the whole copy are the two that grow.

### Clients

What "medlaryard node" holds for clients, measured on x86-64: resident memory with 1,000 connections less that with one, by package clientload with limits that are not reached; the memory of lines by heads of 15 KB in a Go test.

| What | Memory | Counted in the budget |
|---|---|---|
| connection without a request, with its client in the same process | 18 KB | 16 KiB |
| connection with a request whose body is awaited | 26 KB | 16 KiB and the head |
| header line of 5 or 6 bytes, with its bytes | 35 bytes (the same name) to 123 bytes (different names with values) | 120 bytes and its bytes |
| header line of 26 bytes, different names | 132 bytes | 120 bytes and its bytes |
| allocated for a header line while it is parsed, 467 to 1,839 lines of 5 to 19 bytes | 129 to 205 bytes and its bytes | 200 bytes and its bytes |
| body byte | 1.12 bytes | 1 byte beyond 4 KiB |

The budget is 0.3 of the VM's memory: 85 MB of 284 MB are 5,200 connections without a request (the limit is half of that, 2,600, or 2,340 with 4,100 descriptors), or 300 bodies of 256 KiB with their connections.
`
