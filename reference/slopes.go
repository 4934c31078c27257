package reference

// The slopes are measured on one machine of 10 cores. Each stands with the
// command that printed it; docs/measurements.md has the tables.
const (
	// callCPU and itemCPU are the processor microseconds of a peer call and of
	// an item in it, both ends; from a trial of client and server in one process.
	callCPU = 100.0
	itemCPU = 8.0
	// subRequestCPU is what all daemons together spend on a sub-request, from
	// scripts/trial cost.
	subRequestCPU = 446.0
	// idleCPU is the share of a core that an idle daemon with the cell's seven
	// members spends, and searcherCPU what each of its searchers adds; from
	// scripts/trial idle with 10, 20, 40 and 80 shards.
	idleCPU     = 0.0148
	searcherCPU = 0.00025
	// baseMemory is the resident megabytes of a daemon and searcherMemory what
	// each of its searchers adds; from the same runs.
	baseMemory     = 23.7
	searcherMemory = 0.108
	// catalogueMemory is what each searcher in the catalogue keeps, from go test
	// -bench Text ./catalogue/evaluate (23 MB for 65,000), and orderMemory what
	// each group adds to the order of homes, from go test -bench Table ./cell.
	catalogueMemory = 0.00035
	orderMemory     = 0.0003
	// heartbeatBytes and probeBytes are request and reply on the wire, and
	// heartbeatCPU the microseconds of the keeper's part without the call; from
	// go test -bench 'Heartbeat|Sync' ./cell.
	heartbeatBytes = 285.0
	probeBytes     = 245.0
	heartbeatCPU   = 0.6
	// healthBytes is one health request and its reply with two snapshots.
	healthBytes = 450.0
	// installCPU is the milliseconds to install a catalogue per 1,000 groups,
	// from go test -bench Install ./cell; checkCPU is evaluation per 1,000
	// searchers, from go test -bench Text ./catalogue/evaluate.
	installCPU = 9.5
	checkCPU   = 2.5
	// tableCPU is the microseconds per group and member to order the homes of
	// an epoch, from go test -bench Table ./cell.
	tableCPU = 0.2
	// catalogueBytes is what a searcher adds to a catalogue text in the compact
	// form, and explicitBytes in the explicit form.
	catalogueBytes = 2.6
	explicitBytes  = 60.0
)
