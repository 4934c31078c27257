package refusal

// Ran states whether a refused request ran on a searcher.
type Ran string

// The values of Ran.
const (
	NotRun  Ran = "no"
	DidRun  Ran = "yes"
	Unknown Ran = "unknown"
)
