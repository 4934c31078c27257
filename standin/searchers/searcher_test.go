package searchers

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

func startSearcher(t *testing.T, cfg Config) *Searcher {
	t.Helper()
	cfg.Name, cfg.Shard = "one", "s00"
	s, err := Start(cfg, NewCorpus(1, 200))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// post sends one request with client c. Status 0 means that no complete reply
// arrived.
func post(s *Searcher, c *http.Client, path, id, body string, headers ...string) (int, string, wireReply) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+s.Address()+path, strings.NewReader(body))
	req.Header.Set("X-Request-Id", id)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error(), wireReply{}
	}
	defer resp.Body.Close()
	var p wireReply
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
			return 0, err.Error(), p
		}
	}
	return resp.StatusCode, resp.Header.Get("X-Reason"), p
}

// startRequests starts n requests without a deadline and waits until the searcher
// has received them. wait blocks until they end.
func startRequests(s *Searcher, n int) (wait func()) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { post(s, &http.Client{Transport: &http.Transport{}}, "/v1/search", "held", "q") })
	}
	for s.Record().Received < n {
		time.Sleep(time.Millisecond)
	}
	return wg.Wait
}

// Guards against a wrong status or reason: tests would mistake the refusal for one
// of another kind.
func TestRefusals(t *testing.T) {
	s := startSearcher(t, Config{Slots: 1, Queue: 1, ServiceTime: time.Hour})
	c := &http.Client{}
	wait := startRequests(s, 2)
	if status, reason, _ := post(s, c, "/v1/search", "a", "q"); status != 503 || reason != "shed" {
		t.Errorf("third request: %d %q, want 503 shed", status, reason)
	}
	post(s, c, "/v1/cancel", "held", "")
	wait()
	if r := s.Record(); r.Cancelled != 2 || r.PeakInFlight != 2 {
		t.Errorf("cancelled %d, peak %d, want 2 and 2", r.Cancelled, r.PeakInFlight)
	}
	if status, _, _ := post(s, c, "/v1/search", "b", "q", "X-Snapshot", "9"); status != 409 {
		t.Errorf("unknown snapshot: %d, want 409", status)
	}
	if status, _, _ := post(s, c, "/v1/search", "b", "q", "X-Shard", "s01"); status != 421 {
		t.Errorf("wrong shard: %d, want 421", status)
	}
	if status, _, _ := post(s, c, "/v1/search", "b", "q", "X-Deadline-Ms", "1"); status != 504 || s.Record().Expired != 1 {
		t.Errorf("deadline of 1 ms: %d, want 504", status)
	}
	s.SetDraining(true)
	if status, reason, _ := post(s, c, "/v1/search", "c", "q"); status != 503 || reason != "draining" || s.Record().AfterDrain != 1 {
		t.Errorf("while draining: %d %q, want 503 draining", status, reason)
	}
}

// Guards against a cold searcher that never collapses, which would hide overload
// by the query tier, and against a cold start that never ends.
func TestColdStart(t *testing.T) {
	if s := startSearcher(t, Config{StartCold: true}); s.coldSignAt != 0 {
		t.Error("a sign of the cold start was recorded before any reply")
	}
	s := startSearcher(t, Config{StartCold: true, ColdLimit: 1, WarmAfter: 2, Slots: 4})
	c := &http.Client{}
	for range 2 {
		if status, _, _ := post(s, c, "/v1/search", "a", "q"); status != 200 {
			t.Fatalf("one request at a time: %d", status)
		}
	}
	if s.cold || s.Record().PeakCold != 1 {
		t.Errorf("cold %v, peak %d after 2 answers", s.cold, s.Record().PeakCold)
	}
	s.BeginColdStart()
	s.admit(&call{})
	s.admit(&call{})
	if r := s.Record(); r.Collapses != 1 || r.PeakCold != 2 || r.PeakColdKnown != 0 {
		t.Errorf("%d collapses at %d in flight, %d after a sign, want 1 at 2 and 0", r.Collapses, r.PeakCold, r.PeakColdKnown)
	}
	s.coldSignAt = s.clock.Boot() - 2*coldSignGrace
	s.admit(&call{})
	if r := s.Record(); r.PeakColdKnown != 3 {
		t.Errorf("%d in flight after a sign, want 3", r.PeakColdKnown)
	}
}

// Guards against connections above the limit that are accepted.
func TestConnectionCap(t *testing.T) {
	s := startSearcher(t, Config{Connections: 2})
	for i := range 3 {
		accepted := false
		// The reset of a refused connection can arrive before Dial returns.
		if c, err := net.Dial("tcp", s.Address()); err == nil {
			defer c.Close()
			_, _ = c.Write([]byte("GET /v1/health HTTP/1.1\r\nHost: a\r\n\r\n"))
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
			accepted = err == nil
		}
		if accepted != (i < 2) {
			t.Errorf("connection %d: accepted %v", i+1, accepted)
		}
	}
	if r := s.Record(); r.PeakConnections != 2 || r.RefusedConnections != 1 {
		t.Errorf("peak %d, refused %d, want 2 and 1", r.PeakConnections, r.RefusedConnections)
	}
}

// Guards against old connections that still answer after SilenceConnections, and
// against new ones that do not.
func TestSilentConnections(t *testing.T) {
	s := startSearcher(t, Config{})
	old := &http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{}}
	if status, _, _ := post(s, old, "/v1/search", "a", "q"); status != 200 {
		t.Fatal("no answer before SilenceConnections")
	}
	s.SilenceConnections()
	if status, err, _ := post(s, old, "/v1/search", "b", "q"); status != 0 {
		t.Errorf("the old connection answered %d %s", status, err)
	}
	if status, _, _ := post(s, &http.Client{Transport: &http.Transport{}}, "/v1/search", "c", "q"); status != 200 {
		t.Errorf("a new connection answered %d", status)
	}
}

// Guards against a crash that leaves connections open, keeps the boot identifier
// or does not lead to a cold start, and against runs that are not counted.
func TestCrashAndRuns(t *testing.T) {
	s := startSearcher(t, Config{RestartTime: time.Nanosecond})
	s.SetFaults(Faults{CrashMarker: "poison"})
	c := &http.Client{}
	status, _, p := post(s, c, "/v1/run", "once", "good")
	if status != 200 || p.ID != "once" || p.Body == nil || p.Body.Ran != "good" || s.Record().Runs["once"] != 1 {
		t.Fatalf("run: %d %+v, runs %v", status, p, s.Record().Runs)
	}
	if status, _, _ := post(s, c, "/v1/search", "bad", "poison"); status != 0 {
		t.Errorf("the marked request got status %d", status)
	}
	if r := s.Record(); r.Crashes != 1 || s.boots != 2 || !s.cold {
		t.Errorf("%d crashes, boot %d, cold %v", r.Crashes, s.boots, s.cold)
	}
}

// Guards against Truncate, Mislabel and Duplicate faults that leave the reply
// correct.
func TestDamagedReplies(t *testing.T) {
	s := startSearcher(t, Config{})
	s.SetFaults(Faults{Truncate: 1})
	if status, _, _ := post(s, &http.Client{}, "/v1/search", "a", "q"); status != 0 {
		t.Error("a truncated reply was complete")
	}
	for _, field := range []string{"id", "shard", "snapshot", "map", "range"} {
		s.SetFaults(Faults{})
		_, _, good := post(s, &http.Client{}, "/v1/search", "a", "q")
		s.SetFaults(Faults{Mislabel: 1, MislabelField: field})
		_, _, bad := post(s, &http.Client{}, "/v1/search", "a", "q")
		same := good.ID == bad.ID && good.Shard == bad.Shard && good.wireSnapshot == bad.wireSnapshot
		if same {
			t.Errorf("field %s is not wrong", field)
		}
	}
	s.SetFaults(Faults{Duplicate: 1})
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write([]byte("POST /v1/search HTTP/1.1\r\nHost: a\r\nX-Request-Id: twice\r\nContent-Length: 1\r\n\r\nq"))
	r := bufio.NewReader(c)
	for i := range 2 {
		resp, err := http.ReadResponse(r, nil)
		var p wireReply
		if err != nil || json.NewDecoder(resp.Body).Decode(&p) != nil || p.ID != "twice" {
			t.Errorf("copy %d: %v %+v", i+1, err, p)
		}
	}
}

// Guards against Errors that apply outside the configured route, request count or
// load.
func TestConditionalErrors(t *testing.T) {
	f := Faults{Errors: map[string]float64{"bad": 1}, ErrorsAfter: 2, ErrorsAbove: 1}
	cases := []struct {
		route         string
		ran, inFlight int
		want          float64
	}{{"bad", 2, 2, 1}, {"bad", 1, 2, 0}, {"bad", 2, 1, 0}, {"good", 2, 2, 0}}
	for _, tc := range cases {
		if got := f.errorRatio(tc.route, tc.ran, tc.inFlight); got != tc.want {
			t.Errorf("route %s after %d with %d in flight: ratio %g, want %g", tc.route, tc.ran, tc.inFlight, got, tc.want)
		}
	}
	s := startSearcher(t, Config{})
	s.SetFaults(Faults{Errors: map[string]float64{"*": 1}, ErrorsAfter: 1})
	for i, want := range []int{200, 500} {
		if status, _, _ := post(s, &http.Client{}, "/v1/search", "a", "q"); status != want {
			t.Errorf("request %d: %d, want %d", i+1, status, want)
		}
	}
}

// Guards against ignoring a misspelt fault: a test would pass without the fault.
func TestAdminUnknownFault(t *testing.T) {
	a := NewAdmin(&Fleet{searchers: []*Searcher{startSearcher(t, Config{})}})
	for body, want := range map[string]int{`{"down":true}`: 200, `{"outage":true}`: 400} {
		w := httptest.NewRecorder()
		a.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/admin/faults?name=one", strings.NewReader(body)))
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", body, w.Code, want)
		}
	}
}
