package load

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
)

// ExtraSends contains the number of sub-requests that the searchers received, and
// the numbers of hedges and retries that the daemons counted.
type ExtraSends struct {
	SubRequests int64
	Hedges      int64
	Retries     int64
	// UnreadDaemons is the number of daemons whose counters could not be read,
	// for example because they were killed during the run.
	UnreadDaemons int
}

// Ratio returns the number of hedges and retries divided by that of all
// sub-requests.
func (e ExtraSends) Ratio() float64 {
	return float64(e.Hedges+e.Retries) / float64(max(1, e.SubRequests))
}

// counters holds the counters of one daemon by metric name, without the prefix
// medlaryard_ and the suffix _total. It is nil for a daemon that did not reply.
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

// extraSendsBetween sums the increase of the daemons' counters between two
// readings. A counter that decreased belongs to a daemon that restarted in
// between, so it counts from 0.
func extraSendsBetween(before, after []counters) ExtraSends {
	var sum ExtraSends
	for i := range after {
		if before[i] == nil || after[i] == nil {
			sum.UnreadDaemons++
			continue
		}
		for name, n := range after[i] {
			if previous := before[i][name]; previous <= n {
				n -= previous
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
	values := make(counters)
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) != 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if n, err := strconv.ParseFloat(fields[1], 64); err == nil {
			name := strings.TrimPrefix(fields[0], "medlaryard_")
			values[strings.TrimSuffix(name, "_total")] = int64(n)
		}
	}
	return values, scanner.Err()
}
