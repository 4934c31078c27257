package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// fetchTimeout bounds the reading of counters and records.
const fetchTimeout = 10 * time.Second

// plainClient obeys no proxy settings of the environment.
var plainClient = &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{}}

func fetch(url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := plainClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

func fetchJSON(url string, into any) error {
	data, err := fetch(url)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	return nil
}
