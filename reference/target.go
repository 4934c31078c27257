package reference

// designTarget is the size of an installation and the limits for control, which is all
// work except queries.
type designTarget struct {
	daemons          float64
	searchers        float64
	queriesPerSecond float64 // Over all daemons.
	fanOut           float64 // Sub-requests of a query.
	regions          float64
	domains          float64 // Failure domains.
	changesPerDay    float64 // Changes of the configuration.
	restartsPerDay   float64 // Restarts of VMs.
	coreLimit        float64 // Share of a core that control may use on each daemon.
	memoryLimitMB    float64 // Memory that control may use on each daemon.
	trafficLimitKB   float64 // Traffic that control may use on each daemon, in kB a second.
	storeReadLimit   float64 // Reads a second.
	storeWriteLimit  float64 // Writes a second.
}

// targetInTwoYears is the required size in two years. The requirement of "several
// hundred writes" a second to the store is taken as 300.
var targetInTwoYears = designTarget{
	daemons: 3500, searchers: 65000, queriesPerSecond: 2.4e6, fanOut: 130, regions: 9, domains: 31,
	changesPerDay: 5600, restartsPerDay: 15000, coreLimit: 0.019, memoryLimitMB: 64, trafficLimitKB: 12,
	storeReadLimit: 2000, storeWriteLimit: 300,
}

const (
	secondsPerDay = 86400.0
	// heartbeatsPerSecond, renewalsPerSecond and storeChecksPerSecond are the inverse
	// of the intervals in package cell.
	heartbeatsPerSecond  = 2.0
	renewalsPerSecond    = 1 / 1.5
	storeChecksPerSecond = 1 / 60.0
	// healthRequestsPerSecond is the inverse of the interval in package home.
	healthRequestsPerSecond = 1.0
	// probesPerSecond is the inverse of the interval in package daemon.
	probesPerSecond = 5.0
	// watchersPerDomain is the number of daemons of a failure domain that watch the
	// store. watchPollsPerSecond is the rate of polls of each watch.
	watchersPerDomain   = 2.0
	watchPollsPerSecond = 1 / 30.0
)
