package cell

import "time"

const (
	// tickInterval is the time between looks at what is due.
	tickInterval = 100 * time.Millisecond
	// beatInterval is the time between heartbeats to the keeper.
	beatInterval = 500 * time.Millisecond
	// leaseTime is the member lease, from the time the heartbeat was sent.
	leaseTime = 3 * time.Second
	// margin covers clocks of different VMs that run at different rates:
	// 0.5 s on 3 s bears a difference of a seventh.
	margin = 500 * time.Millisecond
	// unheardTime without a grant makes a member look for another keeper.
	unheardTime = 1200 * time.Millisecond
	// storeLease is the keeper's lease, from the time its write was sent.
	storeLease = 5 * time.Second
	// renewInterval leaves three attempts within a storeLease.
	renewInterval = 1500 * time.Millisecond
	// epochInterval is the least time between two epochs; it joins members that
	// start together.
	epochInterval = 200 * time.Millisecond
	// pollInterval is the time between two rounds of asking the members while
	// no keeper grants leases.
	pollInterval = time.Second
	// standstillTime is the lease that one such round gives, from the time it was sent.
	standstillTime = 2500 * time.Millisecond
	// bridgeTime is how long a majority extends leases while the store answers.
	// It covers the replacement of a keeper by a slow store: storeLease, margin
	// and several calls of up to storeTime, twice.
	bridgeTime = 30 * time.Second
	// inputsWait is how long a new epoch waits for the catalogue that its homes
	// were computed from.
	inputsWait = 2 * time.Second
	// silentTime makes a member replaceable by another incarnation of its name.
	silentTime = 1200 * time.Millisecond
	// yieldTime is how long a keeper that hears only a minority waits for one
	// that reaches the majority before it removes those that it does not hear.
	yieldTime = 10 * time.Second
	// peerTime bounds a peer call.
	peerTime = time.Second
	// storeTime bounds a store call.
	storeTime = 2 * time.Second
	// watchTime bounds a watch, so that one that went silent is renewed.
	watchTime = 30 * time.Second
	// watchRetry is the pause after a failed watch; it doubles with each failure
	// up to watchRetryMax, which leaves a second of the 4 s for spreading.
	watchRetry    = 500 * time.Millisecond
	watchRetryMax = 3 * time.Second
	// checkInterval is the time between direct reads of the configuration.
	checkInterval = time.Minute
	// earlyCheckInterval replaces checkInterval without a configuration or a keeper.
	earlyCheckInterval = 5 * time.Second
	// badRetry is the pause before a refused configuration is pulled again.
	badRetry = 10 * time.Second
	// contactTime without a reply of any peer or the store means isolation.
	contactTime = 3 * time.Second
	// seenTime is how long a successful store call proves that the store answers.
	seenTime = 10 * time.Second
	// candidateInterval is the time between looks at the cell object by the two
	// first candidates.
	candidateInterval = time.Second
	// othersInterval is that of the other candidates; it exceeds storeLease and margin.
	othersInterval = 6 * time.Second
	// rankDelay keeps candidates of different rank apart.
	rankDelay = 400 * time.Millisecond
	// releaseRetry is the time between two release calls to one member.
	releaseRetry = 200 * time.Millisecond
	// firstCandidates is the number of members that look often.
	firstCandidates = 2
	// maxBeats bounds heartbeats in flight.
	maxBeats = 3
	// maxMembers bounds a cell.
	maxMembers = 128
	// maxHolders bounds the list of previous members.
	maxHolders = 4 * maxMembers
	// maxStep bounds how far term, epoch and generation jump at once; more is
	// a corrupt or hostile message, and because they never go back it would
	// stay in force for good.
	maxStep = 1 << 20
	// watchersPerDomain is the number of members of a failure domain that watch
	// the configuration.
	watchersPerDomain = 2
	// pushDegree is the number of members that one member forwards a new
	// configuration to.
	pushDegree = 4
	// actingRanks is the number of members after the home that may act for it.
	actingRanks = 2
	// maxAttempts bounds the tokens of writes whose fate is unknown.
	maxAttempts = 16
)
