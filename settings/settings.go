package settings

import "time"

// Settings holds the settings of one daemon. It is immutable.
type Settings struct {
	spec Spec
}

// New returns the Settings with the values of spec.
func New(spec Spec) Settings { return Settings{spec: spec} }

// Name is the name of the daemon's VM in the VM list.
func (s Settings) Name() string { return s.spec.Name }

// Region names the region of the daemon.
func (s Settings) Region() string { return s.spec.Region }

// Domain names the failure domain of the daemon.
func (s Settings) Domain() string { return s.spec.Domain }

// Cell names the cell that the daemon belongs to.
func (s Settings) Cell() string { return s.spec.Cell }

// CallerListen is the address of the callers' listener.
func (s Settings) CallerListen() string { return s.spec.CallerListen }

// CallerAdvertise is the address that callers connect to.
func (s Settings) CallerAdvertise() string { return s.spec.CallerAdvertise }

// PeerListen is the address of the peers' listener.
func (s Settings) PeerListen() string { return s.spec.PeerListen }

// PeerAdvertise is the address that other daemons connect to.
func (s Settings) PeerAdvertise() string { return s.spec.PeerAdvertise }

// OperatorListen is the address of the operators' listener.
func (s Settings) OperatorListen() string { return s.spec.OperatorListen }

// StoreAddress is the address of the object store.
func (s Settings) StoreAddress() string { return s.spec.StoreAddress }

// StoreTimeout is the timeout of one call to the store.
func (s Settings) StoreTimeout() time.Duration { return s.spec.StoreTimeout }

// StoreWatchWait is the time after which a pending watch is renewed.
func (s Settings) StoreWatchWait() time.Duration { return s.spec.StoreWatchWait }

// VMListAddress is the address of the VM list, or empty for no VM list.
func (s Settings) VMListAddress() string { return s.spec.VMListAddress }

// VMListInterval is the pause between the end of a poll of the VM list and the next poll.
func (s Settings) VMListInterval() time.Duration { return s.spec.VMListInterval }

// Peers lists advertised peer addresses of some daemons of the cell. A daemon that
// starts during an outage of the store gets configuration and membership from them.
func (s Settings) Peers() []string { return s.spec.Peers }

// PeerKeyFile is the path of the file with the key that all daemons share, or empty
// for no key.
func (s Settings) PeerKeyFile() string { return s.spec.PeerKeyFile }

// PeerKey is the key in PeerKeyFile, without surrounding white space.
func (s Settings) PeerKey() string { return s.spec.PeerKey }

// PeerConnections is the maximum number of connections to each other daemon.
func (s Settings) PeerConnections() int { return s.spec.PeerConnections }

// PeerMessageBytes is the maximum size of a message between daemons, in bytes.
func (s Settings) PeerMessageBytes() int { return s.spec.PeerMessageBytes }

// OperatorKeyFile is the path of the file with the key that operators send, or empty
// for no key.
func (s Settings) OperatorKeyFile() string { return s.spec.OperatorKeyFile }

// OperatorKey is the key in OperatorKeyFile, without surrounding white space.
func (s Settings) OperatorKey() string { return s.spec.OperatorKey }

// AddressTTL is how long callers may use the addresses that a daemon returned.
func (s Settings) AddressTTL() time.Duration { return s.spec.AddressTTL }

// ShutdownLimit is the maximum duration of a graceful shutdown.
func (s Settings) ShutdownLimit() time.Duration { return s.spec.ShutdownLimit }

// OnceWindow is how long outcomes of non-idempotent requests are kept.
func (s Settings) OnceWindow() time.Duration { return s.spec.OnceWindow }

// OnceRecords is the maximum number of outcomes kept.
func (s Settings) OnceRecords() int { return s.spec.OnceRecords }

// OnceBytes is the maximum total size of the bodies of outcomes kept, in bytes.
func (s Settings) OnceBytes() int { return s.spec.OnceBytes }

// SearcherReplyBytes is the maximum size of a reply of a searcher, in bytes.
func (s Settings) SearcherReplyBytes() int { return s.spec.SearcherReplyBytes }

// Memory is the memory of the VM, in bytes.
func (s Settings) Memory() int { return s.spec.Memory }

// LogLevel is the lowest level of the log lines that the daemon writes.
func (s Settings) LogLevel() LogLevel { return s.spec.LogLevel }
