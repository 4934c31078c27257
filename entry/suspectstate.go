package entry

// SuspectState states whether requests with a fingerprint have crashed searchers.
type SuspectState int

// States of a fingerprint.
const (
	// Clean means that no request with the fingerprint crashed a searcher.
	Clean SuspectState = iota
	// Suspect means that one request with the fingerprint crashed a searcher.
	// The next one runs on a single shard first.
	Suspect
	// Refused means that a second request crashed a searcher as well. Requests
	// with the fingerprint are refused.
	Refused
)
