package command_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"medlaryard.example/medlaryard/command"
)

// fakeDaemon is an HTTP server that returns its own address for /v1/addresses and
// a fixed reply for other requests.
type fakeDaemon struct {
	*httptest.Server
	incarnation string
	status      int
	reply       string

	mu             sync.Mutex // Guards the fields below: the handler may still run after the client has lost its connection.
	dropConnection bool
	lastRequest    map[string]any
	// advertised replaces the daemon's own address in address replies, if not empty.
	advertised string
	// refusals is the number of further requests to refuse as not run.
	refusals int
}

// update calls f, which changes fields, with the lock held.
func (d *fakeDaemon) update(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// received returns the decoded body of the last request, with its path added.
func (d *fakeDaemon) received() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastRequest
}

func newDaemon(t *testing.T) *fakeDaemon {
	d := &fakeDaemon{incarnation: "i1", status: http.StatusOK}
	d.Server = httptest.NewServer(d)
	t.Cleanup(d.Close)
	return d
}

func (d *fakeDaemon) address() string { return strings.TrimPrefix(d.URL, "http://") }

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.URL.Path == "/v1/addresses" {
		address := d.advertised
		if address == "" {
			address = d.address()
		}
		fmt.Fprintf(w, `{"addresses":[{"address":%q,"incarnation":%q,"domain":"d"}],"keep_ms":5000,"issued_ms":17}`, address, d.incarnation)
		return
	}
	d.lastRequest = map[string]any{"path": r.URL.Path}
	_ = json.Unmarshal(body, &d.lastRequest)
	if d.dropConnection {
		panic(http.ErrAbortHandler)
	}
	if d.refusals > 0 {
		d.refusals--
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"kind":"not_home","ran":"no","retry":"else"}`)
		return
	}
	w.WriteHeader(d.status)
	_, _ = io.WriteString(w, d.reply)
}

func (d *fakeDaemon) query(args ...string) result {
	return runCommand(nil, "", append([]string{"query", "--caller=" + d.address(), "--service=s", "--owner=o"}, args...)...)
}

// Guards against an exit code that makes a script treat a partial or refused
// answer as complete.
func TestQuery(t *testing.T) {
	const partial = `{"id":"q","snapshot":4,"coverage":{"documents":9,"total":10,"fraction":0.9},"hits":[{"id":"h","score":1.5,"shard":"00","data":{"t":"x"}}],"missing":[{"shard":"01","reason":"deadline"}],"new":1}`
	tests := []struct {
		name        string
		status      int
		reply       string
		args        []string
		code        command.Code
		out, stderr string
	}{
		{
			"complete", 200, strings.NewReplacer(`:9,`, `:10,`, `0.9`, `1`, `{"shard":"01","reason":"deadline"}`, ``).Replace(partial), nil,
			command.OK, "1.5\t00\th\t{\"t\":\"x\"}\n", "snapshot 4, coverage 100.00% (10 of 10 documents)\n",
		},
		{"partial", 200, partial, nil, command.Partial, "1.5\t00\th\t", "missing: shard 01: deadline\n"},
		{"partial allowed", 200, partial, []string{"--allow-partial"}, command.OK, "1.5\t00\th\t", "coverage 90.00%"},
		{"partial as json", 200, partial, []string{"--output=json"}, command.Partial, `"new":1`, "partial answer: 9 of 10 documents"},
		{"refused", 429, `{"kind":"rate_limited","ran":"no","retry":"later","detail":"over 5/s"}`, nil, command.Refused, "", "refused: rate_limited (ran: no, retry: later): over 5/s"},
		{"outcome unknown", 504, `{"kind":"deadline","ran":"unknown","retry":"confirm"}`, nil, command.OutcomeUnknown, "", "refused: deadline"},
		{"not a daemon", 404, `not found`, nil, command.OutcomeUnknown, "", "answers 404: not found"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(t)
			d.status, d.reply = tt.status, tt.reply
			d.query(append(tt.args, "--deadline=250ms", "--limit=3", "na kupenda")...).want(t, tt.code, tt.out, tt.stderr)
			if got := d.received(); got["path"] != "/v1/query" || got["body"] != "na kupenda" || got["deadline_ms"] != 250.0 || got["limit"] != 3.0 || got["ticket"] != nil {
				t.Errorf("the daemon received %v, want a query with the flags' values and no ticket", got)
			}
		})
	}
}

// Guards against a non-idempotent request whose ticket does not belong to the
// daemon's incarnation. Also guards against an unknown outcome that is reported as
// a refusal or without the flags that ask for the outcome.
func TestQueryRun(t *testing.T) {
	d := newDaemon(t)
	d.reply = `{"id":"r","outcome":"ok","body":{"queued":1}}`
	d.query("--run", "--id=r", `{"song": 1}`).want(t, command.OK, "{\"queued\":1}\n", "request r: ok\n")
	got := d.received()
	ticket, _ := got["ticket"].(map[string]any)
	if got["path"] != "/v1/run" || got["id"] != "r" || ticket["incarnation"] != "i1" || ticket["issued_ms"] != 17.0 {
		t.Errorf("the daemon received %v, want request r with ticket i1/17", got)
	}
	d.update(func() { d.dropConnection = true })
	d.query("--run", "--id=r", "x").want(t, command.OutcomeUnknown, "", "repeat the command with --id r --ticket i1/17")
	d.update(func() { d.dropConnection = false })
	d.query("--run", "--id=r", "--ticket=i0/9", "x").want(t, command.OK, "", "")
	if ticket, _ := d.received()["ticket"].(map[string]any); ticket["incarnation"] != "i0" || ticket["issued_ms"] != 9.0 {
		t.Errorf("the daemon received ticket %v with the repeated request, want i0/9", ticket)
	}
	d.update(func() { d.advertised = "127.0.0.1:1" })
	d.query("--run", "--id=r", "x").want(t, command.Refused, "", "not run: the request was not sent")
	d.query("--run", "--id=r", "--ticket=i0/9", "x").want(t, command.OutcomeUnknown, "", "--id r --ticket i0/9")
	d.update(func() { d.advertised = "" })
	d.query("--run", "--id=r", "--ticket=i0", "x").want(t, command.Usage, "", "expected INCARNATION/MS")
}

// Guards against a change of the output format, which scripts parse.
func TestAddresses(t *testing.T) {
	d := newDaemon(t)
	runCommand(nil, "", "addresses", "--caller=127.0.0.1:1,"+d.address()).want(t, command.OK, d.address()+" d i1\n", "valid for 5s\n")
	runCommand(nil, "", "addresses", "--caller=127.0.0.1:1").want(t, command.Failed, "", "127.0.0.1:1")
}

// Guards against a retry that reuses an identifier that the daemon has already
// refused, and against a retry of a request that may have run.
func TestQueryRetry(t *testing.T) {
	d := newDaemon(t)
	d.reply, d.refusals = `{"id":"r","outcome":"ok","body":1}`, 2
	d.query("--run", "--id=r", "--retry-for=1m", "x").want(t, command.OK, "1\n", "")
	if id := d.received()["id"]; id != "r-3" {
		t.Errorf("the last attempt had identifier %v, want r-3", id)
	}
	d.update(func() { d.refusals = 1 })
	d.query("--run", "--id=r", "x").want(t, command.Refused, "", "refused: not_home")
	d.update(func() { d.status, d.reply = 504, `{"kind":"deadline","ran":"unknown","retry":"confirm"}` })
	d.query("--run", "--id=r", "--retry-for=1m", "x").want(t, command.OutcomeUnknown, "", "--id r --ticket i1/17")
}
