package daemon

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/settings"
	"medlaryard.example/medlaryard/standin/vms"
	"medlaryard.example/medlaryard/vmlist"
)

// Guards against a list that is not this cell's, and against one that is old or
// was never read, as proof that a member is gone.
func TestListedNeedsOwnVM(t *testing.T) {
	own, other := vmlist.NewVM("vm-0", "", "", false), vmlist.NewVM("vm-1", "", "", false)
	for _, test := range []struct {
		name          string
		list          vmlist.List
		now           time.Duration
		listed, known bool
	}{
		{"listed", vmlist.NewList([]vmlist.VM{own, other}, 0), 3 * time.Second, true, true},
		{"dropped", vmlist.NewList([]vmlist.VM{own}, 0), 3 * time.Second, false, true},
		{"old", vmlist.NewList([]vmlist.VM{own}, 0), 3*time.Second + 1, false, false},
		{"without this VM", vmlist.NewList(nil, 0), 0, false, false},
		{"never read", vmlist.List{}, 0, false, false},
	} {
		look := listed("vm-0", time.Second, func() vmlist.List { return test.list }, func() time.Duration { return test.now })
		if is, known := look("vm-1"); is != test.listed || known != test.known {
			t.Errorf("%s: listed %v, known %v", test.name, is, known)
		}
	}
}

// kill ends a daemon without any notice to the others.
func (d *daemon) kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Closes at once.
	d.cancel()
	_ = d.callers.Shutdown(ctx)
	d.peers.shutdown(ctx)
	d.operators.shutdown(ctx)
	d.cell.Close()
	d.homes.Close()
	d.vms.Close()
	d.tasks.Wait()
	d.client.Close()
}

// Guards against a VM list that is polled and not used. Of two members one is
// lost, so no majority can bar it; only the list proves that it is gone.
func TestDroppedVMReleasesHomes(t *testing.T) {
	y := newFixture(t, 0)
	list := vms.NewServer(clock.System{}, vms.VM{Name: "vm-0"}, vms.VM{Name: "vm-1"})
	server := httptest.NewServer(list)
	t.Cleanup(server.Close)
	y.set = func(spec *settings.Spec) {
		spec.VMListAddress, spec.VMListInterval = strings.TrimPrefix(server.URL, "http://"), 100*time.Millisecond
	}
	var daemons []*daemon
	for i := range 2 {
		d, err := newDaemon(settings.New(y.spec(i, "domain-a")))
		if err != nil {
			t.Fatal(err)
		}
		d.start()
		daemons = append(daemons, d)
		y.until("keeper", daemons[0].cell.IsLeader)
	}
	stays, lost := daemons[0], daemons[1]
	defer stays.kill()
	full := func() int {
		n := 0
		for _, s := range stays.status().Services {
			for _, g := range s.Groups {
				if g.Share == "full" {
					n++
				}
			}
		}
		return n
	}
	y.until("settled membership", func() bool {
		own := full()
		return len(stays.cell.Members()) == 2 && stays.cell.Status().Settled && lost.cell.Status().Settled && own > 0 && own < 5
	})
	lost.kill()
	list.Remove("vm-1")
	y.until("full share of all groups", func() bool { return full() == 5 })
}
