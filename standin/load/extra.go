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
	// Unread is the number of daemons whose counters could not be read, for
	// example because they were killed during the run.
	Unread int
}

// Ratio is the share of hedges and retries among all sub-requests.
func (e Extra) Ratio() float64 {
	return float64(e.Hedges+e.Retries) / float64(max(1, e.SubRequests))
}

// counters are the counters of one daemon by name, nil when it did not answer.
type counters map[string]int64

func fetchAllCounters(operators []string) []counters {
	all := make([]counters, len(operators))
	for i, address := range operators {
		if c, err := fetchCounters(address); err == nil {
			all[i] = c
		}
	}
	return all
}

// extraBetween sums what the daemons counted between two readings. A daemon
// that restarted in between began at 0 again.
func extraBetween(before, after []counters) Extra {
	var sum Extra
	for i := range after {
		if before[i] == nil || after[i] == nil {
			sum.Unread++
			continue
		}
		for name, n := range after[i] {
			if earlier := before[i][name]; earlier <= n {
				n -= earlier
			}
			switch {
			case name == "home_hedge_sent":
				sum.Hedges += n
			case strings.HasPrefix(name, "home_retried_"):
				sum.Retries += n
			}
		}
	}
	return sum
}

func fetchCounters(address string) (counters, error) {
	data, err := fetch("http://" + address + "/metrics")
	if err != nil {
		return nil, err
	}
	read := make(counters)
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if n, err := strconv.ParseFloat(fields[1], 64); err == nil {
			name := strings.TrimPrefix(fields[0], "medlaryard_")
			read[strings.TrimSuffix(name, "_total")] = int64(n)
		}
	}
	return read, lines.Err()
}
