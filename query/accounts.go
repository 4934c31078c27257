package query

import (
	"medlaryard.example/medlaryard/account"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/targets"
)

// accountMetrics are the prefixes of the counters that exist for each account
// label.
var accountMetrics = []string{"account.requests.", "account.refused.", "account.late."}

// countAccount counts a finished request for its account. The labels are those of
// the configuration in force: counters of an account that was withdrawn during the
// request are removed already, and would be created again for good.
func (e *Engine) countAccount(name, outcome string, refused bool) {
	if name == "" {
		return
	}
	e.mu.RLock() // Install removes counters under the lock.
	defer e.mu.RUnlock()
	t := e.table.Load()
	if t == nil || t.Accounts() == nil {
		return
	}
	label := t.Accounts().Label(name)
	meter.Count("account.requests."+label, 1)
	switch {
	case refused:
		meter.Count("account.refused."+label, 1)
	case outcome == "late":
		meter.Count("account.late."+label, 1)
	}
}

// unregisterAccounts removes the counters of the labels that next no longer has.
// Either directory may be nil.
func unregisterAccounts(previous, next *account.Directory) {
	if previous == nil {
		return
	}
	kept := make(map[string]bool)
	if next != nil {
		for _, label := range next.Labels() {
			kept[label] = true
		}
	}
	for _, label := range previous.Labels() {
		if kept[label] {
			continue
		}
		for _, prefix := range accountMetrics {
			meter.Unregister(prefix + label)
		}
	}
}

// priority returns the priority of the request's calls.
func (r *run) priority() int { return r.request.Priority(r.route.Priority()) }

// estimateFor returns the option with which an estimate counts only the calls
// that the request has to wait for.
func (r *run) estimateFor() targets.EstimateOption {
	return targets.EstimateFor(r.request, r.priority())
}
