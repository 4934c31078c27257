package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/upgrade"
)

// Guards against evidence that is counted twice or lost because it arrives in
// several datagrams, in another order, or from a daemon that has restarted.
func TestPeerEvidenceParts(t *testing.T) {
	order := upgrade.NewOrderID(0, 7)
	evidence := func(route string, newRequests, elapsed int) *mirrorpb.MoveEvidence {
		return encodeEvidence("shard0", "v2", route, order, time.Duration(elapsed)*time.Second,
			upgrade.NewRouteEvidence(upgrade.NewTally(100, 1), upgrade.NewTally(newRequests, 0)))
	}
	for _, c := range []struct {
		name  string
		parts [][]*mirrorpb.MoveEvidence
		want  map[string]int // Requests of the new version by route.
	}{
		{"parts", [][]*mirrorpb.MoveEvidence{{evidence("a", 3, 1)}, {evidence("b", 4, 1)}}, map[string]int{"a": 3, "b": 4}},
		{"repeated", [][]*mirrorpb.MoveEvidence{{evidence("a", 3, 1)}, {evidence("a", 5, 2)}, {evidence("a", 5, 2)}}, map[string]int{"a": 5}},
		{"late", [][]*mirrorpb.MoveEvidence{{evidence("a", 5, 2)}, {evidence("a", 3, 1)}}, map[string]int{"a": 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeerEvidence(always, always)
			for _, part := range c.parts {
				p.merge("10.0.0.2:7", 1, part)
			}
			checkEvidence(t, p, c.want)
			p.merge("10.0.0.2:7", 2, []*mirrorpb.MoveEvidence{evidence("a", 1, 3)})
			checkEvidence(t, p, map[string]int{"a": 1})
			p.forget("shard0")
			checkEvidence(t, p, map[string]int{})
		})
	}
}

func always(string) bool { return true }

// Guards against evidence of unknown daemons that takes memory without a bound, or that
// leaves no room for the daemons that are registered.
func TestPeerEvidenceIsKeptWithinABound(t *testing.T) {
	const services = 50_000
	p := newPeerEvidence(always, func(peer string) bool { return peer == "10.0.0.2:7" })
	for _, peer := range []string{"10.0.0.3:7", "10.0.0.2:7"} {
		for i := range services {
			p.merge(peer, 1, []*mirrorpb.MoveEvidence{encodeEvidence(fmt.Sprint("shard", i), "v2", "r", upgrade.NewOrderID(0, 7), time.Second, upgrade.RouteEvidence{})})
		}
	}
	var got []int
	for _, peer := range []string{"10.0.0.3:7", "10.0.0.2:7"} {
		n := 0
		for service := range p.daemons[peer].latest {
			n += p.daemons[peer].size(service)
		}
		got = append(got, n/(1<<20))
	}
	p.remove("10.0.0.3:7")
	p.remove("10.0.0.2:7")
	if diff := cmp.Diff([]int{3, 27, 0}, append(got, p.bytes)); diff != "" {
		t.Errorf("MB of an unknown daemon, of a registered one, bytes after both are removed (-want +got):\n%s", diff)
	}
}

func checkEvidence(t *testing.T, p *peerEvidence, want map[string]int) {
	t.Helper()
	e := make(upgrade.Evidence)
	p.addTo(e, "shard0", upgrade.NewOrderID(0, 7))
	got := make(map[string]int)
	for route, r := range e {
		got[route] = r.New().Requests()
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests of the new version (-want +got):\n%s", diff)
	}
}
