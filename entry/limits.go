package entry

import "time"

// Bounds of the callers' interface.
const (
	maxBodyBytes   = 1 << 20
	maxNameBytes   = 128
	maxHits        = 1000
	maxConnections = 4096
	// spareConnections above maxConnections are still answered, with a refusal.
	spareConnections = 1024
	maxInFlight      = 4096
	// maxBatchInFlight keeps room for interactive requests.
	maxBatchInFlight = maxInFlight / 2
	readTimeout      = 10 * time.Second
	writeTimeout     = 10 * time.Second
	idleTimeout      = 60 * time.Second
	defaultHits      = 10
	defaultDeadline  = time.Second
	maxDeadline      = time.Minute
	defaultKeep      = 5 * time.Second
)

// Times within one query.
const (
	// answerMargin is the time before the caller's deadline at which the
	// answer leaves. It covers merging and encoding 130 sub-answers.
	answerMargin = 5 * time.Millisecond
	// marginDivisor bounds the margin of short deadlines to a quarter.
	marginDivisor = 4
	// silenceFraction of the remaining time may pass without any answer from
	// a peer before its groups are sent to an acting home.
	silenceFraction = 0.4
	// maxSilence bounds the wait for a silent peer under long deadlines.
	maxSilence = 500 * time.Millisecond
	// minRestart is the shortest remaining time in which a restart on another
	// snapshot is tried.
	minRestart = 10 * time.Millisecond
)

// Bounds of retries within one query.
const (
	maxRestarts = 2
	// maxCandidates is the number of daemons that a sub-request is sent to in
	// turn: the home and two acting homes.
	maxCandidates = 3
	// firstRound is the pause before candidates are tried a second time; each
	// later pause is twice as long.
	firstRound = 20 * time.Millisecond
	// maxRounds covers the second in which a home changes hands.
	maxRounds = 6
)
