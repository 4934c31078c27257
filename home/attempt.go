package home

import "time"

// attempt is one send of a task to one searcher. The group's lock guards it.
type attempt struct {
	t        *task
	m        *member
	sent     time.Duration
	version  string
	first    bool // It is the first send of the task.
	paid     bool // It took a token of the budget.
	over     bool
	replaced bool // Given up for a repetition that has its token.
	cancel   func()
}
