package settings

import "time"

// Spec holds the values of all settings, for New. Default returns a Spec with all
// defaults.
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
	// StoreTimeout is the timeout of one call to the store.
	StoreTimeout time.Duration
	// StoreWatchWait is the time after which a pending watch is renewed.
	StoreWatchWait time.Duration

	// VMListAddress is the address of the VM list, or empty for no VM list.
	VMListAddress string
	// VMListInterval is the pause between the end of a poll of the VM list and the next poll.
	VMListInterval time.Duration

	// Peers lists advertised peer addresses of some daemons of the cell. A daemon that
	// starts during an outage of the store gets configuration and membership from them.
	Peers []string
	// PeerKeyFile is the path of the file with the key that all daemons share, or empty
	// for no key.
	PeerKeyFile string
	// PeerKey is the key in PeerKeyFile, without surrounding white space.
	PeerKey string
	// PeerConnections is the maximum number of connections to each other daemon.
	PeerConnections int
	// PeerMessageBytes is the maximum size of a message between daemons, in bytes.
	PeerMessageBytes int

	// OperatorKeyFile is the path of the file with the key that operators send, or empty
	// for no key.
	OperatorKeyFile string
	// OperatorKey is the key in OperatorKeyFile, without surrounding white space.
	OperatorKey string

	// AddressTTL is how long callers may use the addresses that a daemon returned.
	AddressTTL time.Duration
	// ShutdownLimit is the maximum duration of a graceful shutdown.
	ShutdownLimit time.Duration

	// OnceWindow is how long outcomes of non-idempotent requests are kept.
	OnceWindow time.Duration
	// OnceRecords is the maximum number of outcomes kept.
	OnceRecords int
	// OnceBytes is the maximum total size of the bodies of outcomes kept, in bytes.
	OnceBytes int

	// SearcherReplyBytes is the maximum size of a reply of a searcher, in bytes.
	SearcherReplyBytes int

	// Memory is the memory of the VM, in bytes.
	Memory int

	// LogLevel is the lowest level of the log lines that the daemon writes.
	LogLevel LogLevel
}
