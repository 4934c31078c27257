package searcher

// Fault is what a failed call says about its searcher.
type Fault int

// The faults.
const (
	// FaultNone says nothing about the searcher.
	FaultNone Fault = iota
	// FaultShed is a refusal because of load.
	FaultShed
	// FaultCold is a refusal because of a cold start.
	FaultCold
	// FaultDraining is a refusal because the searcher is leaving.
	FaultDraining
	// FaultSnapshot is a refusal because the snapshot is not held.
	FaultSnapshot
	// FaultReply is a reply that cannot be decoded or carries the wrong labels.
	FaultReply
	// FaultStatus is an error answer.
	FaultStatus
	// FaultConnect means that no connection could be made.
	FaultConnect
	// FaultBroken is a broken connection while the searcher lives on.
	FaultBroken
	// FaultCrashed is a broken connection and a searcher that restarted or is gone.
	FaultCrashed
	// FaultSilent is a connection without any reply until the deadline.
	FaultSilent
	// FaultConnection is the same while a new connection to the searcher works.
	FaultConnection
)

var faultNames = [...]string{
	"none", "shed", "cold", "draining", "snapshot", "reply", "status", "connect", "broken", "crashed", "silent", "connection",
}

// String returns the fault as it stands in counters and logs.
func (f Fault) String() string { return faultNames[f] }
