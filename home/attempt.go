package home

import (
	"time"

	"medlaryard.example/medlaryard/meter"
)

// attempt is one send of a task to one searcher. The group's lock guards it.
type attempt struct {
	task      *task
	member    *member
	sent      time.Duration
	version   string
	number    int  // Number of the send of the task, from 1.
	firstSend bool // First send of the task.
	usesToken bool // Spent a token of the extra budget.
	hedge     bool // Sent while another attempt of the task was running.
	ended     bool
	silent    bool // The connection is silent while new connections to the searcher work.
	replaced  bool // Cancelled in favour of a resend, which inherits its token.
	cancel    func()
}

// countSend counts the attempt when its first byte is about to be written. An
// attempt that is cancelled before that causes no load on a searcher. home.sent
// counts every attempt; home.hedge.sent and home.retried also count hedges and
// retries, which are the extra load.
func (a *attempt) countSend() {
	meter.Count("home.sent", 1)
	switch {
	case a.hedge:
		meter.Count("home.hedge.sent", 1)
	case a.usesToken:
		meter.Retried("home", a.task.retryReason)
	}
}
