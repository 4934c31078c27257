package entry

// SuspectState is what is known of a request's fingerprint.
type SuspectState int

// The states.
const (
	// Clean is a fingerprint without a crash.
	Clean SuspectState = iota
	// Suspect is a fingerprint whose first run crashed a searcher.
	Suspect
	// Refused is a fingerprint whose second run crashed a searcher as well.
	Refused
)
