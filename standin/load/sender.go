package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Refusal kinds that the generator assigns itself.
const (
	kindConnection = "client_connection" // No complete reply arrived.
	kindTimeout    = "client_timeout"    // No reply until replyGrace after the deadline.
	kindUndecoded  = "client_undecoded"  // The reply is not JSON.
	kindNoAddress  = "client_no_address" // No daemon returned addresses.
	kindNotSent    = "client_not_sent"   // MaxInFlight requests were in flight.
)

// sender sends requests and decodes their answers.
type sender struct {
	client *http.Client
}

func newSender() *sender {
	return &sender{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: defaultMaxInFlight,
		MaxIdleConns:        defaultMaxInFlight,
	}}}
}

// send always returns an answer. If sending or decoding fails, the answer has a
// client kind, and Ran is unknown unless the request could not be encoded.
func (s *sender) send(e endpoint, path string, r wireRequest) wireAnswer {
	body, err := json.Marshal(r)
	if err != nil {
		return wireAnswer{ID: r.ID, Kind: kindUndecoded, Ran: "no", Detail: err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.DeadlineMS)*time.Millisecond+replyGrace)
	defer cancel()
	data, err := s.post(ctx, "http://"+e.address+path, body)
	if err != nil {
		kind := kindConnection
		if ctx.Err() != nil {
			kind = kindTimeout
		}
		return wireAnswer{ID: r.ID, Kind: kind, Ran: "unknown", Detail: err.Error()}
	}
	var a wireAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return wireAnswer{ID: r.ID, Kind: kindUndecoded, Ran: "unknown", Detail: fmt.Sprintf("%.100q", data)}
	}
	return a
}

func (s *sender) post(ctx context.Context, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}
