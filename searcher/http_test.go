package searcher

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	m.Run()
}

const testDeadline = 5 * time.Second

var testLabel = shard.NewLabel(shard.LabelSpec{Snapshot: 7, Map: "m", Low: 10, High: 20, Documents: 5, Total: 50})

func testReply(id string) map[string]any {
	return map[string]any{
		"id": id, "shard": "s1", "snapshot": 7, "map": "m", "low": 10, "high": 20, "documents": 5, "total": 50,
		"version": "v1", "hits": []map[string]any{{"id": "d1", "score": 1.5, "data": map[string]any{"k": 1}}},
	}
}

// testSearcher is an HTTP server in place of a searcher. Tests set its search
// handler.
type testSearcher struct {
	*httptest.Server
	search    http.HandlerFunc
	boot      atomic.Value
	cancelled chan string
	mu        sync.Mutex
	open, max int
}

func newTestSearcher(t *testing.T, search http.HandlerFunc) (*testSearcher, *HTTP) {
	s := &testSearcher{search: search, cancelled: make(chan string, 10)}
	s.boot.Store("b1")
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/search", func(w http.ResponseWriter, r *http.Request) { s.search(w, r) })
	mux.HandleFunc("/v1/cancel", func(_ http.ResponseWriter, r *http.Request) { s.cancelled <- r.Header.Get("X-Request-Id") })
	mux.HandleFunc("/v1/health", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"state":"ready","version":"v1","boot":%q,"inflight":0,"snapshots":[{"snapshot":7,"map":"m","low":10,"high":20,"documents":5,"total":50}]}`, s.boot.Load())
	})
	s.Server = httptest.NewUnstartedServer(mux)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.open++
			s.max = max(s.max, s.open)
		case http.StateClosed, http.StateHijacked:
			s.open--
		}
	}
	s.Start()
	h := NewHTTP(strings.TrimPrefix(s.URL, "http://"), WithReplyLimit(1<<16))
	h.pool.resize(4)
	t.Cleanup(func() {
		h.pool.close()
		s.Close()
	})
	return s, h
}

type callResult struct {
	reply   Reply
	failure *Failure
}

func startCall(h *HTTP, spec CallSpec) (<-chan callResult, func()) {
	if spec.ID == "" {
		spec.ID = "q1"
	}
	if spec.Deadline == 0 {
		spec.Deadline = clock.System{}.Boot() + testDeadline
	}
	spec.Shard = "s1"
	out := make(chan callResult, 1)
	cancel := h.send(NewCall(spec), func(r Reply, f *Failure) { out <- callResult{r, f} })
	return out, cancel
}

func replyWith(change func(m map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m := testReply(r.Header.Get("X-Request-Id"))
		change(m)
		_ = json.NewEncoder(w).Encode(m)
	}
}

// Guards against searchers that return more hits than the caller wants because
// the limit of the request is not sent to them.
func TestLimitHeader(t *testing.T) {
	for limit, want := range map[int]string{0: "", 25: "25"} {
		got := make(chan string, 1)
		_, h := newTestSearcher(t, func(w http.ResponseWriter, r *http.Request) {
			got <- r.Header.Get("X-Limit")
			replyWith(func(map[string]any) {})(w, r)
		})
		out, _ := startCall(h, CallSpec{Limit: limit})
		if o := <-out; o.failure != nil {
			t.Fatalf("limit %d: %v", limit, o.failure)
		}
		if s := <-got; s != want {
			t.Errorf("limit %d: header X-Limit is %q, want %q", limit, s, want)
		}
	}
}

// writeRaw returns a handler that writes raw bytes and closes the connection.
func writeRaw(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = c.Write([]byte(raw))
		_ = c.Close()
	}
}

// Guards against accepting a reply that does not belong to the call, and against
// failures that state that a request did not run when it may have run.
func TestRepliesAreChecked(t *testing.T) {
	other := shard.NewLabel(shard.LabelSpec{Snapshot: 7, Map: "n", Low: 10, High: 20, Documents: 5, Total: 50})
	set := func(key string, v any) http.HandlerFunc { return replyWith(func(m map[string]any) { m[key] = v }) }
	status := func(code int, header ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for i := 0; i < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(code)
		}
	}
	for _, c := range []struct {
		name          string
		search        http.HandlerFunc
		expectedLabel *shard.Label
		fault         Fault
		kind          refusal.Kind
		ran           refusal.Ran
	}{
		{"valid", set("version", "v2"), &testLabel, FaultNone, refusal.None, ""},
		{"other request", set("id", "q2"), nil, FaultReply, refusal.BadReply, refusal.Unknown},
		{"other shard", set("shard", "s2"), nil, FaultReply, refusal.BadReply, refusal.Unknown},
		{"other snapshot", set("snapshot", 8), nil, FaultReply, refusal.BadReply, refusal.Unknown},
		{"other map", set("map", "x"), &testLabel, FaultReply, refusal.BadReply, refusal.Unknown},
		{"other range", set("high", 21), &testLabel, FaultReply, refusal.BadReply, refusal.Unknown},
		{"label not as announced", replyWith(func(map[string]any) {}), &other, FaultReply, refusal.BadReply, refusal.Unknown},
		{"empty range", set("low", 20), nil, FaultReply, refusal.BadReply, refusal.Unknown},
		{"more documents than total", set("documents", 51), nil, FaultReply, refusal.BadReply, refusal.Unknown},
		{"malformed", writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{{{"), nil, FaultReply, refusal.BadReply, refusal.Unknown},
		{"not HTTP", writeRaw("hello\r\n\r\n"), nil, FaultReply, refusal.BadReply, refusal.Unknown},
		{"truncated", writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n{"), nil, FaultReply, refusal.BadReply, refusal.Unknown},
		{"second reply", writeRaw(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 2)), nil, FaultReply, refusal.BadReply, refusal.Unknown},
		{"too large", set("map", strings.Repeat("x", 1<<17)), nil, FaultReply, refusal.TooLarge, refusal.DidRun},
		{"snapshot gone", status(409), nil, FaultSnapshot, refusal.SnapshotGone, refusal.NotRun},
		{"shed", status(503, "X-Ran", "no"), nil, FaultShed, refusal.Overloaded, refusal.NotRun},
		{"cold", status(503, "X-Ran", "no", "X-Reason", "cold"), nil, FaultCold, refusal.Cold, refusal.NotRun},
		{"draining", status(503, "X-Ran", "no", "X-Reason", "draining"), nil, FaultDraining, refusal.NoSearcher, refusal.NotRun},
		{"unavailable", status(503), nil, FaultStatus, refusal.SearcherFailed, refusal.Unknown},
		{"error", status(500), nil, FaultStatus, refusal.SearcherFailed, refusal.Unknown},
		{"broken", writeRaw(""), nil, FaultBroken, refusal.SearcherFailed, refusal.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, h := newTestSearcher(t, c.search)
			out, _ := startCall(h, CallSpec{Snapshot: 7, ExpectedLabel: c.expectedLabel})
			o := <-out
			if c.kind == refusal.None {
				if o.failure != nil || o.reply.Label() != testLabel || o.reply.Version() != "v2" || len(o.reply.Hits()) != 1 {
					t.Fatalf("reply %+v, failure %v; want a valid reply", o.reply, o.failure)
				}
				return
			}
			if o.failure == nil || o.failure.Fault() != c.fault || o.failure.Kind() != c.kind || o.failure.Ran() != c.ran {
				t.Fatalf("failure %+v, want fault %s, kind %s, ran %s", o.failure, c.fault, c.kind, c.ran)
			}
		})
	}
}

// Guards against a crash that is classified as a broken connection. The request
// would then be retried on the next searcher and might crash that one too.
func TestCrashDetection(t *testing.T) {
	s, h := newTestSearcher(t, nil)
	s.search = func(w http.ResponseWriter, r *http.Request) {
		s.boot.Store("b2")
		writeRaw("")(w, r)
	}
	health := make(chan *Failure)
	h.health(func(_ Health, f *Failure) { health <- f })
	if f := <-health; f != nil {
		t.Fatal(f)
	}
	out, _ := startCall(h, CallSpec{})
	if o := <-out; o.failure == nil || o.failure.Fault() != FaultCrashed {
		t.Fatalf("failure %+v, want fault crashed", o.failure)
	}
}

// Guards against searches that continue after the caller has cancelled, and
// against a cancelled call that is reported as not run.
func TestCancelSearch(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	s, h := newTestSearcher(t, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	defer close(release)
	out, cancel := startCall(h, CallSpec{})
	<-arrived
	cancel()
	if o := <-out; o.failure == nil || o.failure.Kind() != refusal.Cancelled || o.failure.Ran() != refusal.Unknown {
		t.Fatalf("failure %+v, want a cancelled call that may have run", o.failure)
	}
	if id := <-s.cancelled; id != "q1" {
		t.Fatalf("cancellation has id %q, want q1", id)
	}
}

// Guards against a request that is written although Permit refuses it, such as
// after the lease has ended.
func TestPermitCheckedBeforeFirstByte(t *testing.T) {
	_, h := newTestSearcher(t, func(http.ResponseWriter, *http.Request) { t.Error("request was written") })
	out, _ := startCall(h, CallSpec{Permit: func() *refusal.Error { return refusal.New(refusal.NotHome, "lease") }})
	if o := <-out; o.failure == nil || o.failure.Kind() != refusal.NotHome || o.failure.Ran() != refusal.NotRun {
		t.Fatalf("failure %+v, want the refusal of Permit", o.failure)
	}
}

// Guards against a failed connect that is reported as a request that may have
// run.
func TestConnectFailureNotRun(t *testing.T) {
	s, h := newTestSearcher(t, nil)
	s.Close()
	out, _ := startCall(h, CallSpec{})
	if o := <-out; o.failure == nil || o.failure.Fault() != FaultConnect || o.failure.Ran() != refusal.NotRun {
		t.Fatalf("failure %+v, want fault connect and not run", o.failure)
	}
}

// Guards against a silent connection that is reported as a silent searcher.
func TestSilentConnectionDetected(t *testing.T) {
	release := make(chan struct{})
	_, h := newTestSearcher(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	silent := make(chan struct{})
	out, cancel := startCall(h, CallSpec{Patience: time.Millisecond, OnSilent: func() { close(silent) }})
	<-silent
	cancel()
	if o := <-out; o.failure == nil || o.failure.Fault() != FaultSilentConnection {
		t.Fatalf("failure %+v, want a silent connection", o.failure)
	}
}

// Guards against more connections than the limit when calls are cancelled
// concurrently.
func TestConnectionCap(t *testing.T) {
	s, h := newTestSearcher(t, replyWith(func(map[string]any) {}))
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			out, cancel := startCall(h, CallSpec{ID: fmt.Sprint(i)})
			if i%5 == 0 {
				cancel()
			}
			if o := <-out; i%5 != 0 && o.failure != nil {
				t.Error(o.failure)
			}
		})
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	// The server may see a connection close after the next one has opened.
	if n := h.pool.size(); n > 4 {
		t.Errorf("%d connections open, the limit is 4; the server saw %d at once", n, s.max)
	}
}

// Guards against a decoder that panics or accepts a reply to a different call.
func FuzzDecodeReply(f *testing.F) {
	valid, err := json.Marshal(testReply("q1"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`{"id":"q1","shard":"s1"}`))
	f.Add(append(valid, valid...))
	f.Add(valid[:len(valid)/2])
	c := NewCall(CallSpec{ID: "q1", Shard: "s1", Snapshot: 7, ExpectedLabel: &testLabel})
	f.Fuzz(func(t *testing.T, body []byte) {
		r, failure := decodeReply(c, body)
		if failure == nil && r.Label() != testLabel {
			t.Errorf("accepted label %+v", r.Label())
		}
		if _, failure := decodeHealth(body); failure != nil && failure.Kind() != refusal.BadReply {
			t.Errorf("decodeHealth failed with kind %s", failure.Kind())
		}
	})
}

// Guards against a second reply that arrives on an idle connection and is used
// as the reply to the next call.
func TestLateSecondReplyDiscarded(t *testing.T) {
	writeNext, wrote := make(chan struct{}), make(chan struct{})
	calls := 0
	s, h := newTestSearcher(t, nil)
	s.search = func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls > 1 {
			replyWith(func(map[string]any) {})(w, r)
			return
		}
		body, err := json.Marshal(testReply(r.Header.Get("X-Request-Id")))
		if err != nil {
			panic(err)
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		for range 2 {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			<-writeNext
		}
		close(wrote)
		_ = c.Close()
	}
	first, _ := startCall(h, CallSpec{ID: "q1"})
	if o := <-first; o.failure != nil {
		t.Fatal(o.failure)
	}
	writeNext <- struct{}{}
	close(writeNext)
	<-wrote
	second, _ := startCall(h, CallSpec{ID: "q2"})
	if o := <-second; o.failure != nil {
		t.Fatal(o.failure)
	}
}
