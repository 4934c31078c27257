package reference

// target is the size that the design is meant for in two years.
type target struct {
	daemons    float64
	searchers  float64
	queries    float64 // A second, over all daemons.
	fanOut     float64 // Sub-requests of a query.
	regions    float64
	domains    float64
	changes    float64 // Of configuration, a day.
	restarts   float64 // Of VMs, a day.
	core       float64 // Permitted share of a core for control, of a daemon.
	memory     float64 // Permitted for control, in MB, of a daemon.
	bytes      float64 // Permitted for control, in kB a second, of a daemon.
	storeReads float64 // A second.
	storeWrite float64 // A second.
}

// twoYears is the stated target; the store's "several hundred writes" is read as 300.
var twoYears = target{
	daemons: 3500, searchers: 65000, queries: 2.4e6, fanOut: 130, regions: 9, domains: 31,
	changes: 5600, restarts: 15000, core: 0.019, memory: 64, bytes: 12,
	storeReads: 2000, storeWrite: 300,
}

const (
	secondsPerDay = 86400.0
	// beatsPerSecond, renewsPerSecond and checksPerSecond are the inverse of the
	// intervals in package cell.
	beatsPerSecond  = 2.0
	renewsPerSecond = 1 / 1.5
	checksPerSecond = 1 / 60.0
	// healthPerSecond is the inverse of the interval in package home.
	healthPerSecond = 1.0
	// probesPerSecond is the inverse of the interval in package daemon.
	probesPerSecond    = 5.0
	watchersPerDomain  = 2.0
	watchPollsPerWatch = 1 / 30.0
)
