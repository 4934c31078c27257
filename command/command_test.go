package command_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/command"
	"medlaryard.example/medlaryard/settings"
	"medlaryard.example/medlaryard/store"
)

const smallCatalogue = "../examples/small.yaml"

// singleObjectStore is a store that holds one object. While down is set, Get fails
// with ErrUnavailable.
type singleObjectStore struct {
	store.Store
	version uint64
	value   []byte
	down    bool
}

func (s *singleObjectStore) Get(context.Context, string) (store.Object, error) {
	switch {
	case s.down:
		return store.Object{}, store.ErrUnavailable
	case s.version == 0:
		return store.Object{}, store.ErrNotFound
	}
	return store.NewObject("catalogue/current", s.version, s.value), nil
}

func (s *singleObjectStore) Put(_ context.Context, key string, value []byte, expected uint64) (store.Object, error) {
	if expected != s.version {
		return store.Object{}, store.ErrConflict
	}
	s.version, s.value = s.version+1, value
	return store.NewObject(key, s.version, value), nil
}

// result holds the exit code and output of one command run.
type result struct {
	code        command.Code
	out, stderr string
}

func runCommand(s store.Store, stdin string, args ...string) result {
	var out, stderr bytes.Buffer
	env := &command.Env{
		Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &stderr, Clock: advancingClock{clocktest.New()},
		OpenStore: func(string) store.Store { return s },
		Serve:     func(context.Context, settings.Settings) error { return nil },
	}
	code := command.Main(context.Background(), args, env)
	return result{code, out.String(), stderr.String()}
}

func (r result) want(t *testing.T, code command.Code, out, stderr string) {
	t.Helper()
	if r.code != code || !strings.Contains(r.out, out) || !strings.Contains(r.stderr, stderr) {
		t.Errorf("want code %d, output with %q, standard error with %q; got code %d\n%s\n%s", code, out, stderr, r.code, r.out, r.stderr)
	}
}

// Guards against exit codes that differ from those in the help text.
func TestUsage(t *testing.T) {
	runCommand(nil, "", "--help").want(t, command.OK, "Exit codes: 0 success", "")
	runCommand(nil, "", "chek").want(t, command.Usage, "", `did you mean "check"`)
	runCommand(nil, "", "status", "--operator=127.0.0.1:1", "--interval=1ms").want(t, command.Usage, "", "at least 100ms")
	runCommand(nil, "", "query", "x", "--caller=127.0.0.1:1", "--service=s", "--owner=o", "--ticket=a/1").want(t, command.Usage, "", "needs --run")
	runCommand(nil, "", "version").want(t, command.OK, "medlaryard ", "")
	runCommand(nil, "", "check", "none.yaml").want(t, command.Failed, "", "none.yaml")
	runCommand(nil, "owner: 5", "check", "-").want(t, command.InvalidInput, "", "stdin:1:8: owner: expected a name")
}

// Guards against a check that omits changes, or that reports success although it
// could not read the catalogue in force.
func TestCheckDifference(t *testing.T) {
	s := &singleObjectStore{}
	runCommand(s, "", "check", smallCatalogue).want(t, command.OK, "valid: 2 failure domains", "")
	runCommand(s, "", "check", smallCatalogue, "--store=x").want(t, command.OK, "in force: nothing\n+ failure domain domain-a", "")
	runCommand(s, "", "apply", smallCatalogue, "--store=x", "--author=Achieng").want(t, command.OK, "applied: generation 1\n", "")
	text, err := os.ReadFile(smallCatalogue)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), "{name: domain-b, region: local}", "{name: domain-b, region: local, in_service: false}", 1)
	runCommand(s, changed, "check", "-", "--store=x").want(t, command.OK, "in force: generation 1 by Achieng, applied 2026-01-01T00:00:00Z\n~ failure domain domain-b: in_service true -> false\n", "")
	s.down = true
	runCommand(s, changed, "check", "-", "--store=x").want(t, command.Failed, "valid:", "the catalogue in force cannot be read")
}

// Guards against an apply that writes an unchanged catalogue again, that overwrites
// another operator's change, or that writes while the store cannot be read.
func TestApply(t *testing.T) {
	s := &singleObjectStore{}
	runCommand(s, "", "apply", smallCatalogue, "--store=x", "--based=1").want(t, command.Conflict, "", "no catalogue is in force")
	runCommand(s, "", "apply", smallCatalogue, "--store=x").want(t, command.OK, "applied: generation 1\n", "")
	runCommand(s, "", "apply", smallCatalogue, "--store=x").want(t, command.OK, "no difference\nunchanged: generation 1\n", "")
	runCommand(s, "", "apply", "../examples/tamasha.yaml", "--store=x", "--based=0").want(t, command.Conflict, "", "nothing was changed")
	runCommand(s, "", "apply", "../examples/tamasha.yaml", "../examples/haneul.yaml", "--store=x", "--based=1").want(t, command.OK, "applied: generation 2\n", "")
	runCommand(s, "", "check", "../examples/tamasha.yaml", "../examples/haneul.yaml", "--store=x").want(t, command.OK, "in force: generation 2", "")
	runCommand(s, "a: [", "apply", "-", "--store=x").want(t, command.InvalidInput, "", "stdin:")
	s.down = true
	runCommand(s, "", "apply", smallCatalogue, "--store=x").want(t, command.Failed, "", "nothing was changed: read object catalogue/current")
	if s.version != 2 {
		t.Errorf("the store has version %d, want 2 writes", s.version)
	}
}

// Guards against a wait that reports success while a daemon still has an older
// generation in force, or that continues after a daemon has refused the change.
func TestApplyWait(t *testing.T) {
	tests := []struct {
		name, status string
		code         command.Code
		out, stderr  string
	}{
		{"in force", `{"cell": {"asked_generation": 1, "in_force_generation": 1}}`, command.OK, "applied: generation 1\nin force: generation 1 on 1 daemons\n", ""},
		{"not yet", `{"cell": {"asked_generation": 1, "in_force_generation": 0}}`, command.Failed, "applied: generation 1\n", "has generation 0 in force"},
		{"refused", `{"cell": {"asked_generation": 1, "refused": "faulty"}}`, command.Failed, "applied: generation 1\n", "refuses generation 1: faulty"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, tt.status) }))
			defer d.Close()
			runCommand(&singleObjectStore{}, "", "apply", smallCatalogue, "--store=x", "--wait=5s", "--operator="+strings.TrimPrefix(d.URL, "http://")).want(t, tt.code, tt.out, tt.stderr)
		})
	}
	runCommand(&singleObjectStore{}, "", "apply", smallCatalogue, "--store=x", "--wait=1s").want(t, command.Usage, "", "needs --operator")
}

// Guards against a serve that accepts invalid settings.
func TestServeInvalidSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte("name: n\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	runCommand(nil, "", "serve", file).want(t, command.InvalidInput, "", file+":1:1: region: expected a name")
}

// Guards against a status that omits fields of a newer daemon, that stops at the
// first daemon that does not answer, or that is requested without the key.
func TestStatus(t *testing.T) {
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer 0123456789abcdef" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_, _ = io.WriteString(w, `{"name": "entry-1", "unknown": {"z": 1, "a": [2]}}`)
	}))
	defer d.Close()
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("0123456789abcdef\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	address := strings.TrimPrefix(d.URL, "http://")
	runCommand(nil, "", "status", "--operator="+address, "--key-file="+key, "--output=json").want(t, command.OK, `{"name":"entry-1","unknown":{"z":1,"a":[2]}}`+"\n", "")
	runCommand(nil, "", "status", "--operator=127.0.0.1:1,"+address, "--key-file="+key).want(t, command.Failed, "name: entry-1\nunknown:\n  z: 1\n", "daemon at 127.0.0.1:1")
	runCommand(nil, "", "status", "--operator="+address).want(t, command.Failed, "", "answers 401")
}

// Guards against a summary that omits refused catalogues, shares that differ from
// the requested ones, searchers that are not warm, or unknown sections.
func TestStatusSummary(t *testing.T) {
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{
			"daemon": {"name": "n", "state": "serving", "since": "2026-01-01T00:00:00Z", "domain": "d", "region": "r", "in_flight": 2},
			"cell": {"cell": "main", "epoch": 3, "members": 7, "keeper": "k", "asked_generation": 5, "in_force_generation": 4, "in_force_since": "2026-01-01T00:00:00Z", "author": "a", "refused": "faulty"},
			"services": [{"name": "s", "in_force": "generation 4", "policy": "current", "moves": [{"name": "m", "from": "v1", "to": "v2", "phase": "running", "share": 0.05, "since": "2026-01-01T00:00:00Z", "reason": "no fault in 80 requests"}], "groups": [
				{"id": "s/00/0", "share": "full", "queued": 3, "searchers": [{"name": "x", "state": "warm"}, {"name": "y", "state": "cold"}]},
				{"id": "s/01/0", "share": "reserved", "asked": "full", "why_not": "not released"},
				{"id": "s/02/0", "share": "none", "searchers": [{"name": "z", "state": "unknown"}]}]}],
			"events": [{"name": "m", "kind": "new"}]}`)
	}))
	defer d.Close()
	address := strings.TrimPrefix(d.URL, "http://")
	runCommand(nil, "", "status", "--operator="+address).want(t, command.OK, `daemon n: serving since 2026-01-01T00:00:00Z, failure domain d, region r, 2 requests in flight
cell main: epoch 3, 7 members, keeper k, store not reachable
catalogue: generation 4 in force since 2026-01-01T00:00:00Z by a; generation 5 is refused: faulty
service s: generation 4, policy current, 3 groups (1 full, 1 none, 1 reserved), 3 queued, 0 in flight, searchers: 1 cold, 1 warm
  move m from v1 to v2: running, share 5% since 2026-01-01T00:00:00Z: no fault in 80 requests
  searcher y: cold
  group s/01/0: reserved instead of full: not released
events:
- name: m
  kind: new
`, "")
	runCommand(nil, "", "status", "--all", "--operator="+address).want(t, command.OK, "name: z\n", "")
}

// advancingClock is a manual clock on which a timer advances the time by its
// duration and fires at once.
type advancingClock struct{ *clocktest.Manual }

func (c advancingClock) NewTimer(d time.Duration) clock.Timer {
	c.Advance(d)
	return c.Manual.NewTimer(0)
}

// Guards against a watch that ends when a daemon fails to answer once, for example
// during a restart, or that continues after an interrupt.
func TestStatusWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var requests atomic.Int32
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch requests.Add(1) {
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			defer cancel()
		}
		_, _ = io.WriteString(w, `{"reading": "x"}`)
	}))
	defer d.Close()
	var out, stderr bytes.Buffer
	env := &command.Env{Stdout: &out, Stderr: &stderr, Clock: advancingClock{clocktest.New()}}
	code := command.Main(ctx, []string{"status", "--watch", "--output=json", "--operator=" + strings.TrimPrefix(d.URL, "http://")}, env)
	if code != command.OK || !strings.HasPrefix(out.String(), `{"reading":"x"}`) || !strings.Contains(stderr.String(), "answers 503") {
		t.Errorf("got code %d, output %q, standard error %q; want code %d, the first reading and the error of the second", code, out.String(), stderr.String(), command.OK)
	}
}
