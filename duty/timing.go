package duty

import "time"

const (
	// sendFraction is the fraction of the lease within which a call may begin,
	// from the start of the write that precedes it.
	sendFraction = 0.5
	// witnessFraction is the fraction of the lease for which a call waits until
	// another daemon has learned that it was recorded. It spans two heartbeats.
	witnessFraction = 0.25
	// callFraction is the fraction of the lease after which a call is given up.
	// The quarter that remains covers differences between clocks and the time for
	// which a call is on its way.
	callFraction = 0.25
	// maxCallTimeout limits a call with a long lease. The API usually answers
	// within milliseconds.
	maxCallTimeout = 750 * time.Millisecond
	// minRetryDelay is the delay after the first failed call.
	minRetryDelay = 200 * time.Millisecond
	// maxStoreDelay is the longest delay after failed calls of the store. A report
	// that waits for the store has only seconds left.
	maxStoreDelay = time.Second
	// silentPeriods is the number of periods, beside the lease, after which an
	// unchanged object shows that its holder has stopped. Two calls may be more than
	// one period apart, since a call waits for the counts of all daemons.
	silentPeriods = 2
	// pollFraction is the fraction of the lease between two reads of the object by
	// a daemon that waits for it to stay unchanged.
	pollFraction = 0.5
	// callShare is the fraction of the permitted rate of calls that a holder uses.
	callShare = 0.5
)

// Timing holds the time limits of a duty.
type Timing struct {
	lease   time.Duration
	period  time.Duration
	spacing time.Duration
}

// NewTiming returns the limits for a lease, which all daemons must have in
// common, calls that are due once in each period, and at most callsPerSecond
// calls.
func NewTiming(lease, period time.Duration, callsPerSecond float64) Timing {
	return Timing{lease: lease, period: period, spacing: time.Duration(float64(time.Second) / (callShare * callsPerSecond))}
}

// CallTimeout returns the time after which a call is given up.
func (t Timing) CallTimeout() time.Duration {
	return min(time.Duration(callFraction*float64(t.lease)), maxCallTimeout)
}

// Lease returns the time that a new holder waits before its first call.
func (t Timing) Lease() time.Duration { return t.lease }

// storeTimeout is the time after which a call of the store is given up. A write
// that takes longer permits no call.
func (t Timing) storeTimeout() time.Duration { return t.sendWithin() }

func (t Timing) sendWithin() time.Duration { return time.Duration(sendFraction * float64(t.lease)) }

func (t Timing) witnessWait() time.Duration {
	return time.Duration(witnessFraction * float64(t.lease))
}

func (t Timing) poll() time.Duration { return time.Duration(pollFraction * float64(t.lease)) }

// silence is the time for which an object stays unchanged only if its holder has
// stopped.
func (t Timing) silence() time.Duration { return silentPeriods*t.period + t.lease }
