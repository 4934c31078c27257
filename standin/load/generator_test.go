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

// daemon is a callers' interface with one address that answers from a corpus
// and runs every non-idempotent request as often as it arrives.
type daemon struct {
	corpus *searchers.Corpus
	self   string
	keepMS int64

	mu      sync.Mutex
	queries int
	asked   int
	runs    map[string]int
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var req wireRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	var reply any
	switch r.URL.Path {
	case "/v1/addresses":
		d.asked++
		reply = wireAddresses{Addresses: []wireAddress{{Address: d.self, Incarnation: "i"}}, KeepMS: d.keepMS, IssuedMS: 5}
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

func startDaemon(t *testing.T, keepMS int64) *daemon {
	d := &daemon{corpus: searchers.NewCorpus(1, 100), keepMS: keepMS, runs: make(map[string]int)}
	s := httptest.NewServer(d)
	t.Cleanup(s.Close)
	d.self = strings.TrimPrefix(s.URL, "http://")
	return d
}

// Guards against requests that are lost or counted twice, addresses that are
// asked for again within their time, counters that are not read, and a killed
// daemon whose counters end the run.
func TestEveryRequestIsCounted(t *testing.T) {
	d := startDaemon(t, 60_000)
	report, err := Run(context.Background(), Config{
		Daemons: []string{"127.0.0.1:1", d.self}, Operators: []string{d.self, "127.0.0.1:1"}, Searchers: d.self,
		Rate: 5000, Count: 200, Corpus: d.corpus, RunRatio: 0.1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if n, details := report.Faults(); n != 0 || report.Sent() != 200 || report.Answered() != 200 || report.Full() != 200 {
		t.Errorf("sent %d, answered %d, full %d, faults %q", report.Sent(), report.Answered(), report.Full(), details)
	}
	if d.asked != 1 || d.queries+len(d.runs) != 200 || len(d.runs) == 0 {
		t.Errorf("addresses asked %d times, %d queries, %d runs", d.asked, d.queries, len(d.runs))
	}
	if e := report.Extra(); e == nil || *e != (Extra{SubRequests: int64(2 * d.queries), Hedges: 1, Unread: 1}) {
		t.Errorf("extra sub-requests %+v, want %d received and one hedge", e, 2*d.queries)
	}
}

// Guards against resends that do not happen or whose second run goes unnoticed.
func TestSecondRunIsNoticed(t *testing.T) {
	d := startDaemon(t, 0)
	report, err := Run(context.Background(), Config{
		Daemons: []string{d.self}, Searchers: d.self, Rate: 5000, Count: 20, RunRatio: 1, ResendRatio: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if n, _ := report.Faults(); n != 20 {
		t.Errorf("%d faults for 20 requests that ran three times", n)
	}
}

// Guards against a dead daemon ending the run instead of being reported.
func TestDeadDaemonIsReported(t *testing.T) {
	report, err := Run(context.Background(), Config{Daemons: []string{"127.0.0.1:1"}, Rate: 1000, Count: 5})
	if err != nil || report.Refused()[kindNoAddress] != 5 {
		t.Errorf("refused %v, error %v", report.Refused(), err)
	}
}
