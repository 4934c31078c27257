package searcher

// Fault classifies a failed call by what it implies about the searcher.
type Fault int

// The faults.
const (
	// FaultNone implies nothing about the searcher.
	FaultNone Fault = iota
	// FaultShed means that the searcher refused the request because of load.
	FaultShed
	// FaultCold means that the searcher refused the request during a cold start.
	FaultCold
	// FaultDraining means that the searcher refused the request because it is
	// shutting down.
	FaultDraining
	// FaultSnapshot means that the searcher does not hold the snapshot.
	FaultSnapshot
	// FaultReply means that the reply is malformed, exceeds a limit or does not
	// match the call.
	FaultReply
	// FaultStatus means that the searcher returned an error status.
	FaultStatus
	// FaultConnect means that no connection could be established.
	FaultConnect
	// FaultBroken means that the connection broke and no crash of the searcher was
	// detected.
	FaultBroken
	// FaultCrashed means that the connection broke and the searcher restarted or
	// no longer answers.
	FaultCrashed
	// FaultSilent means that the call ended, by its deadline or a cancellation,
	// before a complete reply arrived.
	FaultSilent
	// FaultSilentConnection is FaultSilent when the searcher answered over a new
	// connection in the meantime, so that only the connection was silent.
	FaultSilentConnection
)

var faultNames = [...]string{
	"none", "shed", "cold", "draining", "snapshot", "reply", "status", "connect", "broken", "crashed", "silent", "connection",
}

// String returns the name of the fault in metrics and logs.
func (f Fault) String() string { return faultNames[f] }
