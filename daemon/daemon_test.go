package daemon

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against parts that work alone and not together: a query and a
// non-idempotent request must pass from any daemon through the homes to the
// searchers, and operators must see it.
func TestWholePath(t *testing.T) {
	y := newFixture(t, 3)
	y.ready()
	first := y.members[0]
	want, err := query(first.callers, "la")
	if err != nil || len(want.Hits) != 3 {
		t.Fatalf("%+v, %v", want, err)
	}
	for _, m := range y.members {
		got, err := query(m.callers, "la")
		if err != nil || len(got.Hits) != 3 || got.Hits[0] != want.Hits[0] || got.Hits[2] != want.Hits[2] {
			t.Errorf("%+v, %v; want %+v", got, err, want)
		}
	}
	y.runOnce()
	code, text := get(t, "http://"+first.operators+"/v1/status")
	var status statusReply
	if err := json.Unmarshal([]byte(text), &status); err != nil || code != http.StatusOK {
		t.Fatalf("status %d: %v", code, err)
	}
	if status.Daemon.State != serving || len(status.Services) != 2 || len(status.Services[0].Groups) != 4 {
		t.Errorf("status %s", text)
	}
	for _, g := range status.Services[0].Groups {
		if g.Home == "" || (g.Share == "full") != (g.Home == "vm-0") {
			t.Errorf("group %+v", g)
		}
	}
	_, text = get(t, "http://"+first.operators+"/metrics")
	if !strings.Contains(text, "medlaryard_entry_answers_songs_total ") || !strings.Contains(text, `quantile="0.99"`) {
		t.Errorf("metrics lack the entry's figures:\n%s", text)
	}
	if code, _ := get(t, "http://"+first.operators+"/healthz"); code != http.StatusOK {
		t.Errorf("health check answers %d", code)
	}
}

// runOnce sends one request to its incarnation and resends it to all daemons.
func (y *fixture) runOnce() {
	y.t.Helper()
	list, err := call(http.MethodGet, "http://"+y.members[0].callers+"/v1/addresses", nil)
	if err != nil || len(list.Addresses) != 3 {
		y.t.Fatalf("%+v, %v", list, err)
	}
	body := map[string]any{
		"id": "play-1", "owner": "desk", "class": "interactive", "service": "queue", "route": "add", "deadline_ms": 1500,
		"ticket": map[string]any{"incarnation": list.Addresses[0].Incarnation, "issued_ms": list.IssuedMS}, "body": "song",
	}
	for _, a := range append(list.Addresses, list.Addresses...) {
		r, err := call(http.MethodPost, "http://"+a.Address+"/v1/run", body)
		if err != nil || r.Outcome != "ok" {
			y.t.Errorf("run at %s: %+v, %v", a.Address, r, err)
		}
	}
	if n := y.fleet.Runs()["play-1"]; n != 1 {
		y.t.Errorf("request ran %d times", n)
	}
}

// Guards against a graceful shutdown that cuts off or refuses a request of
// callers who keep addresses no longer than they may.
func TestGracefulShutdownLosesNoQuery(t *testing.T) {
	y := newFixture(t, 3)
	y.ready()
	var c callers
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for k := range 6 {
		wg.Go(func() { c.work(y.members[k%3].callers, k, 200*time.Millisecond, stop) })
	}
	time.Sleep(time.Second)
	leaving := y.members[2]
	leaving.stop()
	if err := <-leaving.done; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	leaving.done <- nil // The cleanup waits for it as well.
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	if len(c.faults) > 0 || c.sent == 0 {
		t.Errorf("%d of %d queries failed, first %q", len(c.faults), c.sent, c.faults[:min(3, len(c.faults))])
	}
}
