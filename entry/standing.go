package entry

// Standing is what is known of a request's fingerprint.
type Standing int

// The standings.
const (
	// Clean is a fingerprint without a crash.
	Clean Standing = iota
	// Suspect is a fingerprint whose first run crashed a searcher.
	Suspect
	// Refused is a fingerprint whose second run crashed a searcher as well.
	Refused
)
