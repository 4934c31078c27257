package node

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

// Guards against a report that counts several times because heartbeats repeat
// it, a report that is missed after a lost heartbeat or a restart of its
// sender, and a single failure that excludes a target on all daemons.
func TestReportCursorNewReports(t *testing.T) {
	message := func(first uint64, targets ...uint64) *mirrorpb.TargetReports {
		w := &mirrorpb.TargetReports{First: first}
		for _, id := range targets {
			w.Reports = append(w.Reports, &mirrorpb.TargetReport{Target: id, Tenths: 25})
		}
		return w
	}
	failures := func(first uint64, targets ...uint64) *mirrorpb.TargetReports {
		w := message(first, targets...)
		for _, r := range w.Reports {
			r.Tenths = 0
		}
		return w
	}
	cursor := &reportCursor{}
	for _, c := range []struct {
		name        string
		incarnation uint64
		message     *mirrorpb.TargetReports
		want        map[uint64]int
	}{
		{"first", 1, message(0, 7, 8), map[uint64]int{7: 1, 8: 1}},
		{"repeated with one more", 1, message(0, 7, 8, 7), map[uint64]int{7: 1}},
		{"none", 1, nil, map[uint64]int{}},
		{"after lost heartbeats", 1, message(9, 5, 5), map[uint64]int{5: 2}},
		{"late", 1, message(3, 6), map[uint64]int{}},
		{"after a restart of the sender", 2, message(0, 6), map[uint64]int{6: 1}},
		{"a single failure", 2, failures(1, 4), map[uint64]int{}},
		{"a second one", 2, failures(1, 4, 4), map[uint64]int{4: 1}},
	} {
		got := make(map[uint64]int)
		for id, reports := range cursor.newReports(c.incarnation, c.message) {
			got[id] = len(reports)
			if r := reports[0].Ratio(); r != 2.5 && r != 0 {
				t.Errorf("%s: ratio %v, want 2.5 or 0", c.name, r)
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: new reports by target (-want +got):\n%s", c.name, diff)
		}
	}
}
