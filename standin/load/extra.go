package load

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
)

// Extra is the number of sub-requests, as the searchers received them, and of
// those that were hedges and retries, as the daemons count them.
type Extra struct {
	SubRequests int64
	Hedges      int64
	Retries     int64
}

// Ratio is the share of hedges and retries among all sub-requests.
func (e Extra) Ratio() float64 {
	return float64(e.Hedges+e.Retries) / float64(max(1, e.SubRequests))
}

func (e Extra) minus(o Extra) Extra {
	return Extra{e.SubRequests - o.SubRequests, e.Hedges - o.Hedges, e.Retries - o.Retries}
}

// fetchExtra sums the counters of all daemons and searchers.
func fetchExtra(operators []string, searchers string) (Extra, error) {
	var sum Extra
	for _, address := range operators {
		counters, err := fetchCounters(address)
		if err != nil {
			return sum, err
		}
		for name, n := range counters {
			switch {
			case name == "home_hedge_sent":
				sum.Hedges += n
			case strings.HasPrefix(name, "home_retried_"):
				sum.Retries += n
			}
		}
	}
	if searchers == "" {
		return sum, nil
	}
	var records map[string]struct {
		Received int64 `json:"received"`
	}
	if err := fetchJSON("http://"+searchers+"/admin/records", &records); err != nil {
		return sum, err
	}
	for _, r := range records {
		sum.SubRequests += r.Received
	}
	return sum, nil
}

func fetchCounters(address string) (map[string]int64, error) {
	data, err := fetch("http://" + address + "/metrics")
	if err != nil {
		return nil, err
	}
	counters := make(map[string]int64)
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if n, err := strconv.ParseFloat(fields[1], 64); err == nil {
			name := strings.TrimPrefix(fields[0], "medlaryard_")
			counters[strings.TrimSuffix(name, "_total")] = int64(n)
		}
	}
	return counters, lines.Err()
}
