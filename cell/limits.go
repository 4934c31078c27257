package cell

import "time"

const (
	// tickInterval is the interval of the periodic work.
	tickInterval = 100 * time.Millisecond
	// heartbeatInterval is the interval of the heartbeats to the leader.
	heartbeatInterval = 500 * time.Millisecond
	// leaseDuration is the duration of a member lease, from the time the heartbeat was
	// sent.
	leaseDuration = 3 * time.Second
	// clockMargin is added to leases that other VMs hold, whose clocks may run at
	// different rates: 0.5 s on 3 s tolerates a difference of a seventh.
	clockMargin = 500 * time.Millisecond
	// grantTimeout is the time without a grant after which a member looks for another
	// leader.
	grantTimeout = 1200 * time.Millisecond
	// storeLeaseDuration is the duration of the leader's lease in the store, from the
	// time its write was sent.
	storeLeaseDuration = 5 * time.Second
	// renewInterval is the interval of the leader's renewals. It allows three attempts
	// within storeLeaseDuration.
	renewInterval = 1500 * time.Millisecond
	// epochInterval is the minimum time between two epochs. It lets members that start
	// together join in one epoch.
	epochInterval = 200 * time.Millisecond
	// pollInterval is the interval of the rounds in which a member asks the others
	// while no leader grants leases.
	pollInterval = time.Second
	// standstillLease is the duration of the lease from one such round, from the time
	// the round was sent.
	standstillLease = 2500 * time.Millisecond
	// maxStandstillWithStore limits the time for which a majority extends leases while
	// the store answers. It covers twice the replacement of a leader with a slow store:
	// storeLeaseDuration, clockMargin and several calls of up to storeTimeout.
	maxStandstillWithStore = 30 * time.Second
	// inputsTimeout limits the time for which a new epoch waits for the catalogue from
	// which its homes are computed.
	inputsTimeout = 2 * time.Second
	// silenceTimeout is the time without a heartbeat after which another incarnation of
	// the same name may replace a member. Requests to join expire after it, too.
	silenceTimeout = 1200 * time.Millisecond
	// yieldTimeout is the time for which a leader that gets heartbeats only from a
	// minority waits for another leader, before it removes the silent members.
	yieldTimeout = 10 * time.Second
	// peerTimeout limits a peer call.
	peerTimeout = time.Second
	// storeTimeout limits a store call other than a watch.
	storeTimeout = 2 * time.Second
	// watchTimeout limits a watch, so that a watch that went silent is renewed.
	watchTimeout = 30 * time.Second
	// watchRetry is the delay after a failed watch. It doubles with each failure up to
	// watchRetryMax, which leaves 1 s to spread a configuration within 4 s.
	watchRetry    = 500 * time.Millisecond
	watchRetryMax = 3 * time.Second
	// checkInterval is the interval of the direct reads of the configuration.
	checkInterval = time.Minute
	// earlyCheckInterval replaces checkInterval while there is no configuration or no
	// leader.
	earlyCheckInterval = 5 * time.Second
	// refusedRetry is the delay before a rejected configuration is pulled again.
	refusedRetry = 10 * time.Second
	// isolationTimeout is the time without contact with any peer after which a daemon
	// that cannot reach the store counts as isolated.
	isolationTimeout = 3 * time.Second
	// storeContactTimeout is the time for which a successful store call shows that the
	// store answers.
	storeContactTimeout = 10 * time.Second
	// candidateInterval is the interval at which the first two candidates read the cell
	// object.
	candidateInterval = time.Second
	// laterCandidateInterval is the interval of the other candidates. It exceeds
	// storeLeaseDuration plus clockMargin.
	laterCandidateInterval = 6 * time.Second
	// rankDelay separates the attempts of candidates of consecutive ranks.
	rankDelay = 400 * time.Millisecond
	// releaseRetry is the delay between two Release calls to one member.
	releaseRetry = 200 * time.Millisecond
	// firstCandidates is the number of candidates that read the cell object every
	// candidateInterval.
	firstCandidates = 2
	// maxHeartbeats limits the heartbeats in flight.
	maxHeartbeats = 3
	// maxMembers limits the members of a cell.
	maxMembers = 128
	// maxPrevious limits the list of previous members.
	maxPrevious = 4 * maxMembers
	// maxStep limits by how much term, epoch and generation may increase at once. They
	// never decrease, so a larger step from a corrupt or hostile message would stay in
	// force permanently.
	maxStep = 1 << 20
	// watchersPerDomain is the number of members of a failure domain that watch
	// the configuration.
	watchersPerDomain = 2
	// pushDegree is the number of members that one member forwards a new
	// configuration to.
	pushDegree = 4
	// actingRanks is the number of members after the home that may stand in for it.
	actingRanks = 2
	// maxAttempts limits the recorded writes whose outcome is unknown.
	maxAttempts = 16
)
