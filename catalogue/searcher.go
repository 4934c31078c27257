package catalogue

// SearcherSpec holds the values that NewSearcher takes.
type SearcherSpec struct {
	EntrySpec
	// Address is the IP address and port of the searcher.
	Address string
	// Domain names the failure domain that the searcher runs in.
	Domain string
	// Version is the back-end version that the searcher runs.
	Version string
	// Slots is the number of requests that the searcher runs concurrently.
	Slots int
	// Connections is the number of connections that the searcher accepts from all daemons together.
	Connections int
	// ColdLimit is the maximum number of requests in flight during a cold start of the searcher.
	ColdLimit int
}

// Searcher is one target process that serves one shard.
type Searcher struct {
	Entry
	spec SearcherSpec
}

// NewSearcher returns the immutable Searcher that spec describes.
func NewSearcher(spec SearcherSpec) *Searcher {
	return &Searcher{Entry: NewEntry(spec.EntrySpec), spec: spec}
}

// Address is the IP address and port of the searcher.
func (s *Searcher) Address() string { return s.spec.Address }

// Domain names the failure domain that the searcher runs in.
func (s *Searcher) Domain() string { return s.spec.Domain }

// Version is the back-end version that the searcher runs.
func (s *Searcher) Version() string { return s.spec.Version }

// Slots is the number of requests that the searcher runs concurrently.
func (s *Searcher) Slots() int { return s.spec.Slots }

// Connections is the number of connections that the searcher accepts from all daemons together.
func (s *Searcher) Connections() int { return s.spec.Connections }

// ColdLimit is the maximum number of requests in flight during a cold start of the searcher.
func (s *Searcher) ColdLimit() int { return s.spec.ColdLimit }
