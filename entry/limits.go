package entry

import "time"

// Limits of the callers' interface.
const (
	maxBodyBytes   = 1 << 20
	maxNameBytes   = 128
	maxHits        = 1000
	maxConnections = 4096
	// overflowConnections is the number of connections beyond maxConnections
	// whose requests are answered with a refusal.
	overflowConnections = 1024
	maxInFlight         = 4096
	// maxBatchInFlight reserves capacity for interactive requests.
	maxBatchInFlight  = maxInFlight / 2
	readTimeout       = 10 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 60 * time.Second
	defaultHits       = 10
	defaultDeadline   = time.Second
	maxDeadline       = time.Minute
	defaultAddressTTL = 5 * time.Second
)

// Times within one query.
const (
	// answerMargin is how long before the caller's deadline the answer is
	// built. It covers merging and encoding the results of 130 shards.
	answerMargin = 5 * time.Millisecond
	// answerMarginDivisor limits the margin to a quarter of a short deadline.
	answerMarginDivisor = 4
	// silenceFraction is the fraction of a query's remaining time that may pass
	// without any answer from a peer before its subqueries are sent to an
	// acting home.
	silenceFraction = 0.4
	// maxSilence limits the wait for a silent peer under long deadlines.
	maxSilence = 500 * time.Millisecond
	// minRestartTime is the shortest remaining time for a restart on another
	// snapshot.
	minRestartTime = 10 * time.Millisecond
)

// Limits of retries within one query.
const (
	maxRestarts = 2
	// maxCandidates is the number of daemons that a sub-request is sent to one
	// after the other: the home and two acting homes.
	maxCandidates = 3
	// firstRetryPause is the pause before the candidates are tried again. Each
	// later pause is twice as long.
	firstRetryPause = 20 * time.Millisecond
	// maxRetryRounds is enough pauses to outlast a handoff, which takes up to a
	// second.
	maxRetryRounds = 6
)
