package node

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/shards"
)

// Guards against a daemon that sends to a target beyond its limit because only
// other daemons have heard of the limit.
func TestNamedLimitReachesPeers(t *testing.T) {
	c := newCluster(t, 2, 1)
	for _, target := range c.targets {
		target.SetBehaviour(shards.NewBehaviour(time.Millisecond, shards.Slots(4), shards.Header(platform.HeaderLimit, "0")))
	}
	first, second := c.daemons[0], c.daemons[1]
	c.eventually("the second daemon knows the limits of both targets", func() bool {
		c.send(first.ip, "POST", "/card/1", "first", "")
		return second.daemon.notices.Limited() >= 2
	})
	if r := c.send(second.ip, "POST", "/card/1", "second", ""); r.status != http.StatusServiceUnavailable || c.runs("second") != 0 {
		t.Errorf("status %d and %d runs, want 503 and none", r.status, c.runs("second"))
	}
}

// Guards against a daemon that sends its usual load to a cold target because only
// other daemons have seen it restart, and against a heartbeat that limits a target
// for too long.
func TestRestartReachesPeers(t *testing.T) {
	wire := []*mirrorpb.TargetNotice{{Target: 1, ColdMs: 2500}, {Target: 2, ColdMs: math.MaxUint32}}
	var got []time.Duration
	for _, s := range decodeNotices(wire) {
		got = append(got, s.ColdFor())
	}
	if diff := cmp.Diff([]time.Duration{2500 * time.Millisecond, maxNoticedCold}, got); diff != "" {
		t.Errorf("cold for (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(uint32(2500), encodeNotices(decodeNotices(wire))[0].GetColdMs()); diff != "" {
		t.Errorf("cold in a heartbeat (-want +got):\n%s", diff)
	}
}
