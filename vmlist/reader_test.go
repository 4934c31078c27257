package vmlist_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/standin/vms"
	"medlaryard.example/medlaryard/vmlist"
)

// Guards against a failed poll that discards the last list or resets its age.
func TestPollFailureKeepsLastList(t *testing.T) {
	c := clocktest.New()
	server := vms.NewServer(c, vms.VM{Name: "vm-1", Address: "10.0.0.1", Domain: "a"})
	h := httptest.NewServer(server)
	defer h.Close()
	r := vmlist.NewReader(h.URL, vmlist.WithClock(c))
	ctx := context.Background()
	if r.List().Known() {
		t.Fatal("a list is known before the first poll")
	}
	if err := r.Poll(ctx); err != nil {
		t.Fatal(err)
	}
	server.SetLag(2 * time.Second)
	server.Set(vms.VM{Name: "vm-1", Address: "10.0.0.1", Domain: "a", Leaving: true})
	c.Advance(time.Second)
	if err := r.Poll(ctx); err != nil {
		t.Fatal(err)
	}
	if v, ok := r.List().VM("vm-1"); !ok || v.Leaving() || v.Address() != "10.0.0.1" || v.Domain() != "a" {
		t.Errorf("before the lag: %+v, found %v", v, ok)
	}
	server.SetOutage(true)
	c.Advance(3 * time.Second)
	if r.Poll(ctx) == nil || r.Err() == nil {
		t.Error("a poll succeeded during an outage")
	}
	if l := r.List(); l.Len() != 1 || l.Age(c.Boot()) != 3*time.Second {
		t.Errorf("%d VMs of age %v in an outage, want 1 of age 3s", l.Len(), l.Age(c.Boot()))
	}
	server.SetOutage(false)
	if err := r.Poll(ctx); err != nil {
		t.Fatal(err)
	}
	if v, _ := r.List().VM("vm-1"); !v.Leaving() {
		t.Error("the change is not visible after the lag")
	}
}

// Guards against a reader that polls only once or continues to poll after Close.
func TestStartAndClose(t *testing.T) {
	c := clocktest.New()
	server := vms.NewServer(c)
	h := httptest.NewServer(server)
	defer h.Close()
	r := vmlist.NewReader(h.URL, vmlist.WithClock(c), vmlist.WithInterval(time.Second))
	r.Start()
	server.Set(vms.VM{Name: "vm-1"})
	for r.List().Len() == 0 {
		c.Advance(time.Second)
		time.Sleep(time.Millisecond)
	}
	r.Close()
	if c.PendingTimers() != 0 {
		t.Errorf("%d timers after Close", c.PendingTimers())
	}
}
