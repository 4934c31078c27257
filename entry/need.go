package entry

// need states what a query has to do about the labels of a group.
type need int

const (
	none    need = iota
	refresh      // Ask beside the query.
	wait         // Ask before the plan.
)
