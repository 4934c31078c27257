package entry

// refreshMode states whether and when a query must refresh the labels of a group.
type refreshMode int

const (
	refreshNone         refreshMode = iota
	refreshInBackground             // Refresh while the query runs.
	refreshBeforePlan               // Refresh before the query is planned.
)
