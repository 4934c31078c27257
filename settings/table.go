package settings

import (
	"time"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// path is the path of a key file.
var path = syntax.NewType("the path of a file that holds a key of 16 to 256 characters", func(n *syntax.Node) (string, bool) {
	return n.Scalar(), n.Kind() == syntax.Text && n.Scalar() != ""
})

// table lists every setting in the order of docs/settings.md. Times that all
// daemons of a cell must agree on, such as leases, are constants instead.
var table = []Setting{
	required("name", "name", syntax.Name, func(s *Spec) *string { return &s.Name },
		"Name of this daemon's VM as it stands in the VM list. Unique in the cell and kept over restarts."),
	required("region", "name", syntax.Name, func(s *Spec) *string { return &s.Region },
		"Region that the daemon runs in."),
	required("domain", "name", syntax.Name, func(s *Spec) *string { return &s.Domain },
		"Failure domain that the daemon runs in, as the catalogue names it."),
	optional("cell", "name", syntax.Name, "main", func(s *Spec) *string { return &s.Cell },
		"Cell that the daemon belongs to."),
	required("caller.listen", "address", syntax.Address, func(s *Spec) *string { return &s.CallerListen },
		"Address that the callers' interface listens on."),
	derived("caller.advertise", "address", syntax.Address, "`caller.listen`", func(s *Spec) *string { return &s.CallerAdvertise },
		"Address that the address answer gives to callers."),
	required("peer.listen", "address", syntax.Address, func(s *Spec) *string { return &s.PeerListen },
		"Address that the interface for other daemons listens on."),
	derived("peer.advertise", "address", syntax.Address, "`peer.listen`", func(s *Spec) *string { return &s.PeerAdvertise },
		"Address that other daemons connect to."),
	derived("peer.key_file", "path", path, "no key", func(s *Spec) *string { return &s.PeerKeyFile },
		"File with the key that all daemons share. With a key, calls of daemons without it are refused."),
	optional("peer.connections", "connections", syntax.IntBetween(1, 1024, "connections"), 64, func(s *Spec) *int { return &s.PeerConnections },
		"Highest number of connections to one other daemon."),
	optional("peer.message_bytes", "bytes", syntax.IntBetween(mib, 256*mib, "bytes"), 8*mib, func(s *Spec) *int { return &s.PeerMessageBytes },
		"Largest message between daemons. A message can carry the catalogue, which has up to 1 MB."),
	required("operator.listen", "address", syntax.Address, func(s *Spec) *string { return &s.OperatorListen },
		"Address that the operators' interface listens on."),
	derived("operator.key_file", "path", path, "no key", func(s *Spec) *string { return &s.OperatorKeyFile },
		"File with the key that operators send as a bearer token. With a key, requests without it are refused, except for `/healthz`."),
	required("store.address", "address", syntax.Address, func(s *Spec) *string { return &s.StoreAddress },
		"Address of the platform's object store."),
	optional("store.timeout", "duration", syntax.DurationBetween(50*time.Millisecond, 2*time.Second), time.Second, func(s *Spec) *time.Duration { return &s.StoreTimeout },
		"Longest wait for one call to the store. The store lease of 5 s depends on several calls in time."),
	optional("store.watch_wait", "duration", syntax.DurationBetween(time.Second, 5*time.Minute), 25*time.Second, func(s *Spec) *time.Duration { return &s.StoreWatchWait },
		"Time after which a watch that has seen no change is renewed."),
	derived("vm_list.address", "address", syntax.Address, "no VM list", func(s *Spec) *string { return &s.VMListAddress },
		"Address of the platform's VM list. Without it, removals of VMs take effect by heartbeats and health alone."),
	optional("vm_list.interval", "duration", syntax.DurationBetween(100*time.Millisecond, time.Minute), time.Second, func(s *Spec) *time.Duration { return &s.VMListInterval },
		"Pause between two readings of the VM list."),
	peers,
	optional("address_ttl", "duration", syntax.DurationBetween(time.Second, time.Minute), 5*time.Second, func(s *Spec) *time.Duration { return &s.AddressTTL },
		"Time for which callers keep an address answer. A graceful shutdown lasts at least as long."),
	optional("shutdown_limit", "duration", syntax.DurationBetween(2*time.Second, 10*time.Minute), time.Minute, func(s *Spec) *time.Duration { return &s.ShutdownLimit },
		"Time after which a graceful shutdown ends even if requests are in flight. Longer than `address_ttl`."),
	optional("once.window", "duration", syntax.DurationBetween(time.Minute, time.Hour), 10*time.Minute, func(s *Spec) *time.Duration { return &s.OnceWindow },
		"Time for which outcomes of non-idempotent requests are kept and tickets are valid. Equal on all daemons."),
	optional("once.records", "records", syntax.IntBetween(1024, 16*mib, "records"), 65536, func(s *Spec) *int { return &s.OnceRecords },
		"Highest number of outcomes kept. A full table refuses new requests as not run."),
	optional("once.bytes", "bytes", syntax.IntBetween(mib, 1024*mib, "bytes"), 16*mib, func(s *Spec) *int { return &s.OnceBytes },
		"Highest sum of the bodies of outcomes kept."),
	optional("searcher.reply_bytes", "bytes", syntax.IntBetween(64*kib, 64*mib, "bytes"), 4*mib, func(s *Spec) *int { return &s.SearcherReplyBytes },
		"Largest reply that is accepted from a searcher."),
	optional("log.level", "word", syntax.OneOf(Debug, Info, Warn, Error), Info, func(s *Spec) *LogLevel { return &s.LogLevel },
		"Lowest level of the JSON log lines on standard error."),
}

// peers is the only list.
var peers = Setting{
	path: "peers", unit: "list of addresses", expected: "a list of IP addresses with ports", fallback: "empty",
	help:  "Advertised peer addresses of some daemons of the cell. A daemon that starts while the store is down takes configuration and membership from them.",
	reset: func(*Spec) {},
	read: func(m *syntax.Mapping, key string, spec *Spec) {
		spec.Peers = syntax.Values(m, key, syntax.Address)
	},
}

// Table returns a row for each setting.
func Table() []Setting { return append([]Setting(nil), table...) }

// Default returns a Spec in which every setting with a default has it.
func Default() Spec {
	var spec Spec
	for _, s := range table {
		s.reset(&spec)
	}
	return spec
}
