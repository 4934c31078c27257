package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"medlaryard.example/medlaryard/standin/searchers"
)

// fakeDaemon serves the callers' interface at one address. It answers queries
// from a corpus and runs a non-idempotent request each time that it receives it.
type fakeDaemon struct {
	corpus  *searchers.Corpus
	address string
	keepMS  int64

	mu              sync.Mutex
	queries         int
	addressRequests int
	runs            map[string]int
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var req wireRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	var reply any
	switch r.URL.Path {
	case "/v1/addresses":
		d.addressRequests++
		reply = wireAddresses{Addresses: []wireAddress{{Address: d.address, Incarnation: "i"}}, KeepMS: d.keepMS, IssuedMS: 5}
	case "/v1/query":
		d.queries++
		reply = referenceAnswer(d.corpus, req, 1, searchers.Range{High: searchers.KeySpace})
	case "/v1/run":
		if req.Ticket == nil || *req.Ticket != (wireTicket{Incarnation: "i", IssuedMS: 5}) {
			reply = wireAnswer{ID: req.ID, Kind: "wrong_incarnation", Ran: "no"}
			break
		}
		d.runs[req.ID]++
		reply = wireAnswer{ID: req.ID, Outcome: "done"}
	case "/admin/runs":
		reply = d.runs
	case "/admin/records":
		reply = map[string]any{"a": map[string]int{"received": 7 + d.queries}, "b": map[string]int{"received": d.queries}}
	case "/metrics":
		fmt.Fprintf(w, "# TYPE x counter\nmedlaryard_home_hedge_sent_total %d\nmedlaryard_home_retried_overloaded_total 3\n", 2+d.queries/100)
		return
	}
	_ = json.NewEncoder(w).Encode(reply)
}

func startFakeDaemon(t *testing.T, keepMS int64) *fakeDaemon {
	d := &fakeDaemon{corpus: searchers.NewCorpus(1, 100), keepMS: keepMS, runs: make(map[string]int)}
	s := httptest.NewServer(d)
	t.Cleanup(s.Close)
	d.address = strings.TrimPrefix(s.URL, "http://")
	return d
}

// Guards against requests that are lost or counted twice, address requests while
// the cached addresses are valid, counters that are not read, and a run that
// fails because the counters of a killed daemon cannot be read.
func TestRunRequestCounts(t *testing.T) {
	d := startFakeDaemon(t, 60_000)
	report, err := Run(context.Background(), Config{
		Daemons: []string{"127.0.0.1:1", d.address}, Operators: []string{d.address, "127.0.0.1:1"}, Searchers: d.address,
		Rate: 5000, Count: 200, Corpus: d.corpus, RunRatio: 0.1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if n, details := report.Violations(); n != 0 || report.Requests() != 200 || report.Answered() != 200 || report.Full() != 200 {
		t.Errorf("requests %d, answered %d, full %d, violations %q", report.Requests(), report.Answered(), report.Full(), details)
	}
	if d.addressRequests != 1 || d.queries+len(d.runs) != 200 || len(d.runs) == 0 {
		t.Errorf("%d address requests, %d queries, %d runs", d.addressRequests, d.queries, len(d.runs))
	}
	if e := report.ExtraSends(); e == nil || *e != (ExtraSends{SubRequests: int64(2 * d.queries), Hedges: 1, UnreadDaemons: 1}) {
		t.Errorf("extra sub-requests %+v, want %d received and one hedge", e, 2*d.queries)
	}
}

// Guards against resends that are not sent, or a repeated run that is not
// reported.
func TestRunRepeatedRuns(t *testing.T) {
	d := startFakeDaemon(t, 0)
	report, err := Run(context.Background(), Config{
		Daemons: []string{d.address}, Searchers: d.address, Rate: 5000, Count: 20, RunRatio: 1, ResendRatio: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if n, _ := report.Violations(); n != 20 {
		t.Errorf("%d violations for 20 requests that ran three times, want 20", n)
	}
}

// Guards against a run that fails because no daemon is reachable, instead of
// reporting the requests as refused.
func TestRunUnreachableDaemon(t *testing.T) {
	report, err := Run(context.Background(), Config{Daemons: []string{"127.0.0.1:1"}, Rate: 1000, Count: 5})
	if err != nil || report.Refused()[kindNoAddress] != 5 {
		t.Errorf("refused %v, error %v, want 5 of kind %s", report.Refused(), err, kindNoAddress)
	}
}
