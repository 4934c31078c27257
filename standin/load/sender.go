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

// Kinds that the generator itself assigns.
const (
	kindConnection = "client_connection" // No complete reply arrived.
	kindTimeout    = "client_timeout"    // No reply within deadline and grace.
	kindUndecoded  = "client_undecoded"  // The reply is not JSON.
	kindNoAddress  = "client_no_address" // No daemon gave addresses.
	kindNotSent    = "client_not_sent"   // Too many requests in flight.
)

// sender sends one request and decodes its answer.
type sender struct {
	client *http.Client
}

func newSender() *sender {
	return &sender{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: defaultMaxInFlight,
		MaxIdleConns:        defaultMaxInFlight,
	}}}
}

// send returns an answer in every case; a failure has a client kind and leaves
// open whether the request ran.
func (s *sender) send(t target, path string, r wireRequest) wireAnswer {
	body, err := json.Marshal(r)
	if err != nil {
		return wireAnswer{ID: r.ID, Kind: kindUndecoded, Ran: "no", Detail: err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.DeadlineMS)*time.Millisecond+replyGrace)
	defer cancel()
	data, err := s.post(ctx, "http://"+t.address+path, body)
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
