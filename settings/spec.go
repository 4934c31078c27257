package settings

import "time"

// Spec holds the values that New takes. Default returns one with all defaults.
type Spec struct {
	// Name is the name of the daemon's VM in the VM list.
	Name string
	// Region names the region of the daemon.
	Region string
	// Domain names the failure domain of the daemon.
	Domain string
	// Cell names the cell that the daemon belongs to.
	Cell string

	// CallerListen is the address of the callers' listener.
	CallerListen string
	// CallerAdvertise is the address that callers connect to.
	CallerAdvertise string
	// PeerListen is the address of the peers' listener.
	PeerListen string
	// PeerAdvertise is the address that other daemons connect to.
	PeerAdvertise string
	// OperatorListen is the address of the operators' listener.
	OperatorListen string

	// StoreAddress is the address of the object store.
	StoreAddress string
	// StoreTimeout bounds one call to the store.
	StoreTimeout time.Duration
	// StoreWatchWait is the time after which a pending watch is renewed.
	StoreWatchWait time.Duration

	// VMListAddress is the address of the VM list; empty uses none.
	VMListAddress string
	// VMListInterval is the pause between two readings of the VM list.
	VMListInterval time.Duration

	// Peers are advertised peer addresses to start from.
	Peers []string
	// PeerKeyFile is the path of the key that all daemons share; empty uses none.
	PeerKeyFile string
	// PeerKey is the content of PeerKeyFile.
	PeerKey string
	// PeerConnections bounds the connections to one other daemon.
	PeerConnections int
	// PeerMessageBytes bounds one message between daemons.
	PeerMessageBytes int

	// OperatorKeyFile is the path of the key that operators send; empty uses none.
	OperatorKeyFile string
	// OperatorKey is the content of OperatorKeyFile.
	OperatorKey string

	// AddressTTL is how long callers keep an address answer.
	AddressTTL time.Duration
	// ShutdownLimit ends a graceful shutdown that has not finished.
	ShutdownLimit time.Duration

	// OnceWindow is how long outcomes of non-idempotent requests are kept.
	OnceWindow time.Duration
	// OnceRecords bounds the table of outcomes.
	OnceRecords int
	// OnceBytes bounds the bodies in the table of outcomes.
	OnceBytes int

	// SearcherReplyBytes bounds one reply of a searcher.
	SearcherReplyBytes int

	// LogLevel is the lowest level that is logged.
	LogLevel LogLevel
}
