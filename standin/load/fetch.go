package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// fetchTimeout bounds one request for counters or records.
const fetchTimeout = 10 * time.Second

// noProxyClient ignores the proxy settings of the environment.
var noProxyClient = &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{}}

func fetch(url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := noProxyClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("GET %s: status %d", url, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

func fetchJSON(url string, v any) error {
	data, err := fetch(url)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode JSON from %s: %w", url, err)
	}
	return nil
}
