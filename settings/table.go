package settings

import (
	"time"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// keyFileType is the type of a setting that holds the path of a key file.
var keyFileType = syntax.NewType("the path of a file that holds a key of 16 to 256 characters", func(n *syntax.Node) (string, bool) {
	return n.Scalar(), n.Kind() == syntax.Text && n.Scalar() != ""
})

// table lists every setting in the order of docs/settings.md. Durations that must be
// equal on all daemons of a cell, such as those of leases, are constants instead.
var table = []Setting{
	required("name", "name", syntax.Name, func(s *Spec) *string { return &s.Name },
		"Name of this daemon's VM in the VM list. It must be unique in the cell and stay the same after a restart."),
	required("region", "name", syntax.Name, func(s *Spec) *string { return &s.Region },
		"Region that the daemon runs in."),
	required("domain", "name", syntax.Name, func(s *Spec) *string { return &s.Domain },
		"Failure domain that the daemon runs in, as named in the catalogue."),
	optional("cell", "name", syntax.Name, "main", func(s *Spec) *string { return &s.Cell },
		"Cell that the daemon belongs to."),
	required("caller.listen", "address", syntax.Address, func(s *Spec) *string { return &s.CallerListen },
		"Address that the callers' interface listens on."),
	derived("caller.advertise", "address", syntax.Address, "`caller.listen`", func(s *Spec) *string { return &s.CallerAdvertise },
		"Address that callers connect to. Daemons return it to callers that request addresses."),
	required("peer.listen", "address", syntax.Address, func(s *Spec) *string { return &s.PeerListen },
		"Address that the interface for other daemons listens on."),
	derived("peer.advertise", "address", syntax.Address, "`peer.listen`", func(s *Spec) *string { return &s.PeerAdvertise },
		"Address that other daemons connect to."),
	derived("peer.key_file", "path", keyFileType, "no key", func(s *Spec) *string { return &s.PeerKeyFile },
		"File with the key that all daemons share. If it is set, the daemon refuses peer calls without the key."),
	optional("peer.connections", "connections", syntax.IntBetween(1, 1024, "connections"), 64, func(s *Spec) *int { return &s.PeerConnections },
		"Maximum number of connections to each other daemon."),
	optional("peer.message_bytes", "bytes", syntax.IntBetween(mib, 256*mib, "bytes"), 8*mib, func(s *Spec) *int { return &s.PeerMessageBytes },
		"Maximum size of a message between daemons. A message can contain the catalogue, which has up to 1 MB."),
	required("operator.listen", "address", syntax.Address, func(s *Spec) *string { return &s.OperatorListen },
		"Address that the operators' interface listens on."),
	derived("operator.key_file", "path", keyFileType, "no key", func(s *Spec) *string { return &s.OperatorKeyFile },
		"File with the key that operators send as a bearer token. If it is set, the daemon refuses requests without the key, except for `/healthz`."),
	required("store.address", "address", syntax.Address, func(s *Spec) *string { return &s.StoreAddress },
		"Address of the platform's object store."),
	optional("store.timeout", "duration", syntax.DurationBetween(50*time.Millisecond, 2*time.Second), time.Second, func(s *Spec) *time.Duration { return &s.StoreTimeout },
		"Timeout of one call to the store. Several calls must fit into the store lease of 5 s."),
	optional("store.watch_wait", "duration", syntax.DurationBetween(time.Second, 5*time.Minute), 25*time.Second, func(s *Spec) *time.Duration { return &s.StoreWatchWait },
		"Time after which a watch is renewed if nothing has changed."),
	derived("vm_list.address", "address", syntax.Address, "no VM list", func(s *Spec) *string { return &s.VMListAddress },
		"Address of the platform's VM list. Without it, a removed VM is detected only by heartbeats and health requests."),
	optional("vm_list.interval", "duration", syntax.DurationBetween(100*time.Millisecond, time.Minute), time.Second, func(s *Spec) *time.Duration { return &s.VMListInterval },
		"Pause between two polls of the VM list."),
	peers,
	optional("address_ttl", "duration", syntax.DurationBetween(time.Second, time.Minute), 5*time.Second, func(s *Spec) *time.Duration { return &s.AddressTTL },
		"Time for which callers may use the addresses that a daemon returned. A graceful shutdown takes at least this long."),
	optional("shutdown_limit", "duration", syntax.DurationBetween(2*time.Second, 10*time.Minute), time.Minute, func(s *Spec) *time.Duration { return &s.ShutdownLimit },
		"Time after which a graceful shutdown ends even if requests are in flight. It must be longer than `address_ttl`."),
	optional("once.window", "duration", syntax.DurationBetween(time.Minute, time.Hour), 10*time.Minute, func(s *Spec) *time.Duration { return &s.OnceWindow },
		"Time for which outcomes of non-idempotent requests are kept and tickets are valid. It must be equal on all daemons."),
	optional("once.records", "records", syntax.IntBetween(1024, 16*mib, "records"), 65536, func(s *Spec) *int { return &s.OnceRecords },
		"Maximum number of outcomes kept. If the table is full, the daemon refuses new non-idempotent requests without running them."),
	optional("once.bytes", "bytes", syntax.IntBetween(mib, 1024*mib, "bytes"), 16*mib, func(s *Spec) *int { return &s.OnceBytes },
		"Maximum total size of the bodies of outcomes kept."),
	optional("searcher.reply_bytes", "bytes", syntax.IntBetween(64*kib, 64*mib, "bytes"), 4*mib, func(s *Spec) *int { return &s.SearcherReplyBytes },
		"Maximum size of a reply from a searcher."),
	optional("memory", "bytes", syntax.IntBetween(64*mib, 1024*1024*mib, "bytes"), 4096*mib, func(s *Spec) *int { return &s.Memory },
		"Memory of the VM. Requests and answers of callers may take 0.3 of it; the connections that hold most for longest are closed first. The Go runtime gets a soft limit of 0.55 of it; what is allocated for callers and large replies of searchers waits while the heap exceeds 0.4 of it. Connections take 0.6 of the descriptors that the system grants the process beyond 200."),
	optional("log.level", "word", syntax.OneOf(Debug, Info, Warn, Error), Info, func(s *Spec) *LogLevel { return &s.LogLevel },
		"Lowest level of the JSON log lines on standard error."),
}

// peers is the only setting whose value is a list.
var peers = Setting{
	path: "peers", unit: "list of addresses", expected: "a list of IP addresses with ports", defaultText: "empty",
	help:       "Advertised peer addresses of some daemons of the cell. A daemon that starts during an outage of the store gets configuration and membership from them.",
	setDefault: func(*Spec) {},
	read: func(m *syntax.Mapping, key string, spec *Spec) {
		spec.Peers = syntax.Values(m, key, syntax.Address)
	},
}

// Table returns all settings in the order of docs/settings.md.
func Table() []Setting { return append([]Setting(nil), table...) }

// Default returns a Spec in which every setting that has a default is set to it.
func Default() Spec {
	var spec Spec
	for _, s := range table {
		s.setDefault(&spec)
	}
	return spec
}
