package load

import "time"

// Witness is what all searchers together experienced, by their own records.
type Witness struct {
	// Received, Collapses, RefusedConnections, Crashes and AfterDrain are sums.
	Received           int64
	Collapses          int64
	RefusedConnections int64
	Crashes            int64
	AfterDrain         int64
	// PeakColdKnown is the highest number of requests in flight at one searcher
	// during a cold start that had shown itself, since the searchers started.
	PeakColdKnown int64
	// LastAfterDrain is the latest arrival of work after the begin of a drain,
	// since the searchers started.
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

// fetchWitness reads the records from the searchers' admin endpoint.
func fetchWitness(address string) (Witness, error) {
	var w Witness
	var records map[string]wireRecord
	if err := fetchJSON("http://"+address+"/admin/records", &records); err != nil {
		return w, err
	}
	for _, r := range records {
		w.Received += r.Received
		w.Collapses += r.Collapses
		w.RefusedConnections += r.RefusedConnections
		w.Crashes += r.Crashes
		w.AfterDrain += r.AfterDrain
		w.PeakColdKnown = max(w.PeakColdKnown, r.PeakColdKnown)
		w.LastAfterDrain = max(w.LastAfterDrain, r.LastAfterDrain)
	}
	return w, nil
}

// since subtracts the sums of an earlier reading.
func (w Witness) since(o Witness) Witness {
	w.Received -= o.Received
	w.Collapses -= o.Collapses
	w.RefusedConnections -= o.RefusedConnections
	w.Crashes -= o.Crashes
	w.AfterDrain -= o.AfterDrain
	return w
}
