package load

import "time"

// SearcherTotals sums the records of all searchers.
type SearcherTotals struct {
	// Received, Collapses, RefusedConnections, Crashes and AfterDrain are sums
	// over the searchers.
	Received           int64
	Collapses          int64
	RefusedConnections int64
	Crashes            int64
	AfterDrain         int64
	// PeakColdKnown is the maximum number of requests in flight at a searcher
	// whose cold start the daemons could detect. It covers the time since the
	// searchers started.
	PeakColdKnown int64
	// LastAfterDrain is the maximum time from the start of a drain to the arrival
	// of a request at the draining searcher. It covers the time since the
	// searchers started.
	LastAfterDrain time.Duration
}

type wireRecord struct {
	Received           int64         `json:"received"`
	Collapses          int64         `json:"collapses"`
	RefusedConnections int64         `json:"refused_connections"`
	Crashes            int64         `json:"crashes"`
	AfterDrain         int64         `json:"after_drain"`
	PeakColdKnown      int64         `json:"peak_cold_known"`
	LastAfterDrain     time.Duration `json:"last_after_drain_ns"`
}

// fetchSearcherTotals reads the records from the searchers' admin endpoint.
func fetchSearcherTotals(address string) (SearcherTotals, error) {
	var totals SearcherTotals
	var records map[string]wireRecord
	if err := fetchJSON("http://"+address+"/admin/records", &records); err != nil {
		return totals, err
	}
	for _, r := range records {
		totals.Received += r.Received
		totals.Collapses += r.Collapses
		totals.RefusedConnections += r.RefusedConnections
		totals.Crashes += r.Crashes
		totals.AfterDrain += r.AfterDrain
		totals.PeakColdKnown = max(totals.PeakColdKnown, r.PeakColdKnown)
		totals.LastAfterDrain = max(totals.LastAfterDrain, r.LastAfterDrain)
	}
	return totals, nil
}

// since subtracts the sums of an earlier reading. It keeps PeakColdKnown and
// LastAfterDrain, because they are not sums.
func (t SearcherTotals) since(earlier SearcherTotals) SearcherTotals {
	t.Received -= earlier.Received
	t.Collapses -= earlier.Collapses
	t.RefusedConnections -= earlier.RefusedConnections
	t.Crashes -= earlier.Crashes
	t.AfterDrain -= earlier.AfterDrain
	return t
}
