package load

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Extra is the number of sub-requests that homes sent to searchers.
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

// fetchExtra sums the counters of all daemons. Counter names may be written
// with dots or underscores.
func fetchExtra(operators []string) (Extra, error) {
	var sum Extra
	for _, address := range operators {
		counters, err := fetchCounters(address)
		if err != nil {
			return sum, err
		}
		for name, n := range counters {
			switch {
			case name == "home_sent":
				sum.SubRequests += n
			case name == "home_hedge_sent":
				sum.Hedges += n
			case strings.HasPrefix(name, "home_retried_"):
				sum.Retries += n
			}
		}
	}
	return sum, nil
}

func fetchCounters(address string) (map[string]int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics of %s: status %d", address, resp.StatusCode)
	}
	counters := make(map[string]int64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if n, err := strconv.ParseFloat(fields[1], 64); err == nil {
			name := strings.TrimPrefix(strings.ReplaceAll(fields[0], ".", "_"), "medlaryard_")
			counters[name] = int64(n)
		}
	}
	return counters, lines.Err()
}
