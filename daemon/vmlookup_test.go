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

// Guards against treating a member as removed because of a VM list that belongs to
// another cell, is too old or was never read.
func TestVMLookupRequiresOwnVM(t *testing.T) {
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
		lookup := vmLookup("vm-0", time.Second, func() vmlist.List { return test.list }, func() time.Duration { return test.now })
		if isListed, known := lookup("vm-1"); isListed != test.listed || known != test.known {
			t.Errorf("%s: got listed %v, known %v; want %v, %v", test.name, isListed, known, test.listed, test.known)
		}
	}
}

// kill ends a daemon without informing the others.
func (d *daemon) kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // The servers close without waiting for requests.
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

// Guards against ignoring the VM list. One of two members is lost, so no majority can
// exclude it, and only the list shows that it is gone.
func TestDroppedVMReleasesHomes(t *testing.T) {
	f := newFixture(t, 0)
	list := vms.NewServer(clock.System{}, vms.VM{Name: "vm-0"}, vms.VM{Name: "vm-1"})
	server := httptest.NewServer(list)
	t.Cleanup(server.Close)
	f.changeSpec = func(spec *settings.Spec) {
		spec.VMListAddress, spec.VMListInterval = strings.TrimPrefix(server.URL, "http://"), 100*time.Millisecond
	}
	var daemons []*daemon
	for i := range 2 {
		d, err := newDaemon(settings.New(f.spec(i, "domain-a")))
		if err != nil {
			t.Fatal(err)
		}
		d.start()
		daemons = append(daemons, d)
		f.waitFor("keeper", daemons[0].cell.IsLeader)
	}
	survivor, lost := daemons[0], daemons[1]
	defer survivor.kill()
	fullShares := func() int {
		n := 0
		for _, s := range survivor.status().Services {
			for _, g := range s.Groups {
				if g.Share == "full" {
					n++
				}
			}
		}
		return n
	}
	f.waitFor("settled membership", func() bool {
		own := fullShares()
		return len(survivor.cell.Members()) == 2 && survivor.cell.Status().Settled && lost.cell.Status().Settled && own > 0 && own < 5
	})
	lost.kill()
	list.Remove("vm-1")
	f.waitFor("full share of all groups", func() bool { return fullShares() == 5 })
}
