package refusal

// Ran states whether a refused request ran on a searcher.
type Ran string

// The values of Ran. NotRun is a promise: the request did not run and will not run.
const (
	NotRun  Ran = "no"
	DidRun  Ran = "yes"
	Unknown Ran = "unknown"
)
