package home

import (
	"time"

	"medlaryard.example/medlaryard/meter"
)

// attempt is one send of a task to one searcher. The group's lock guards it.
type attempt struct {
	t        *task
	m        *member
	sent     time.Duration
	version  string
	first    bool // It is the first send of the task.
	paid     bool // It took a token of the budget.
	hedge    bool // Another attempt of the task ran when it was sent.
	over     bool
	silent   bool // Its connection is silent while new ones to its searcher work.
	replaced bool // Given up for a repetition that has its token.
	cancel   func()
}

// count counts the attempt when its first byte is about to be written. An
// attempt that is withdrawn before that is no load on a searcher. Each attempt
// is in home.sent; hedges and retries are also in home.hedge.sent and
// home.retried, which are the extra load.
func (a *attempt) count() {
	meter.Count("home.sent", 1)
	switch {
	case a.hedge:
		meter.Count("home.hedge.sent", 1)
	case a.paid:
		meter.Retried("home", a.t.retry)
	}
}
