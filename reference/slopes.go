package reference

// The slopes are costs per unit on a machine of 10 cores. If a command prints
// a slope, its comment names the command. docs/measurements.md has the tables.
const (
	// callCPUMicros and itemCPUMicros are the processor time of a peer call and of
	// each item in it, at both ends, with client and server in one process.
	callCPUMicros = 100.0
	itemCPUMicros = 8.0
	// subRequestCPUMicros is the processor time of a sub-request on all daemons
	// together, from scripts/trial cost.
	subRequestCPUMicros = 446.0
	// idleCoreShare is the share of a core that an idle daemon uses in a cell of seven
	// members. searcherCoreShare is the share that each of its searchers adds. Both
	// are from scripts/trial idle with 10, 20, 40 and 80 shards.
	idleCoreShare     = 0.0148
	searcherCoreShare = 0.00025
	// baseMemoryMB is the resident memory of a daemon. searcherMemoryMB is the memory
	// that each of its searchers adds. Both are from the same runs.
	baseMemoryMB     = 23.7
	searcherMemoryMB = 0.108
	// catalogueMemoryMB is the memory that each searcher adds to the catalogue, from go
	// test -bench Text ./catalogue/evaluate (23 MB for 65,000 searchers). orderMemoryMB
	// is the memory that each group adds to the order of homes, from go test -bench
	// Table ./cell.
	catalogueMemoryMB = 0.00035
	orderMemoryMB     = 0.0003
	// heartbeatBytes and probeBytes are the size of request and reply on the wire.
	// heartbeatCPUMicros is the processor time of the leader for a heartbeat without
	// the call. They are from go test -bench 'Heartbeat|Sync' ./cell.
	heartbeatBytes     = 285.0
	probeBytes         = 245.0
	heartbeatCPUMicros = 0.6
	// healthBytes is the size of a health request and its reply with two snapshots.
	healthBytes = 450.0
	// installCPUMillis is the processor time to install a catalogue per 1,000 groups,
	// from go test -bench Install ./cell. evaluateCPUMillis is the processor time
	// to evaluate it per 1,000 searchers, from go test -bench Text ./catalogue/evaluate.
	installCPUMillis  = 9.5
	evaluateCPUMillis = 2.5
	// orderCPUMicros is the processor time per group and member to order the homes of
	// an epoch, from go test -bench Table ./cell.
	orderCPUMicros = 0.2
	// catalogueBytes is the size that a searcher adds to a catalogue text in the
	// compact form, and explicitBytes is its size in the explicit form.
	catalogueBytes = 2.6
	explicitBytes  = 60.0
)
