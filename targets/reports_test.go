package targets_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/shards"
	"medlaryard.example/medlaryard/targets"
)

// reportFixture holds the groups of two daemons with the same targets.
type reportFixture struct {
	*fixture
	reports [2]*targets.Reports
	groups  [2]*targets.Group
}

func newReportFixture(b ...shards.Behaviour) *reportFixture {
	r := &reportFixture{fixture: newFixture(0, behaviour())}
	for _, behaviour := range b {
		r.addTarget(behaviour)
	}
	for i := range r.groups {
		r.reports[i] = targets.NewReports(clock.System{})
		r.groups[i] = targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(r.emulator.Dial),
			targets.PreferDomain("a"), targets.ReportTo(r.reports[i]))
		r.groups[i].Resize(targets.NewGroupLimits(3, targets.ColdLimits{}, targets.NewBudgetLimits(0.2, 54, 1), true))
		r.groups[i].Update(r.entries)
	}
	time.Sleep(50 * time.Millisecond)
	return r
}

// load sends n requests through the group of one daemon.
func (r *reportFixture) load(daemon, n int) {
	r.group, r.groups[daemon] = r.groups[daemon], r.group
	for i := range n {
		r.send(fmt.Sprintf("d%d-%d", daemon, i), true)
	}
	r.group, r.groups[daemon] = r.groups[daemon], r.group
}

// mergeReports passes the reports of the first daemon to the second one and
// returns their number.
func (r *reportFixture) mergeReports() int {
	_, reports := r.reports[0].Recent()
	byTarget := make(map[uint64][]targets.Report)
	for _, t := range reports {
		byTarget[t.Target()] = append(byTarget[t.Target()], t)
	}
	r.groups[1].MergeReports(byTarget)
	return len(reports)
}

func (r *reportFixture) closeAll() {
	for _, g := range r.groups {
		g.Close()
	}
	r.close()
}

// Guards against daemons that each have to detect a failing target by
// themselves, and against a recovered target that gets no requests.
func TestGroupMergeReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReportFixture(behaviour(shards.Failing(1)), behaviour(), behaviour())
		defer r.closeAll()
		r.load(0, 12)
		if r.mergeReports() == 0 {
			t.Fatal("the first daemon reported no failure")
		}
		before := len(r.targets[0].Runs())
		r.load(1, 12)
		if n := len(r.targets[0].Runs()) - before; n != 0 {
			t.Errorf("the second daemon sent %d of 12 requests to a target reported as failing, want none", n)
		}
		time.Sleep(8 * time.Second)
		r.targets[0].SetBehaviour(behaviour())
		r.load(1, 30)
		if n := len(r.targets[0].Runs()) - before; n < 5 {
			t.Errorf("the target got %d of 30 requests after it had recovered, want 5 or more", n)
		}
	})
}

// Guards against a daemon with a broken network link that reports all targets
// as failing.
func TestReportsFaultyReporter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReportFixture(behaviour(shards.Failing(1)), behaviour(shards.Failing(1)), behaviour(shards.Failing(1)))
		defer r.closeAll()
		r.load(0, 30)
		if n := r.mergeReports(); n != 0 {
			t.Errorf("a daemon whose calls all fail reported %d failures, want none", n)
		}
	})
}

// Guards against reports that grow without bound or never expire.
func TestReportsBoundAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReportFixture(behaviour(shards.Failing(0.3)), behaviour(shards.Failing(0.3)))
		defer r.closeAll()
		r.load(0, 400)
		first, reports := r.reports[0].Recent()
		if len(reports) == 0 || len(reports) > 60 {
			t.Errorf("%d failures are reported, want 1 to 60", len(reports))
		}
		again, same := r.reports[0].Recent()
		if again != first || len(same) != len(reports) {
			t.Errorf("second call returned %d reports from number %d, want %d from number %d", len(same), again, len(reports), first)
		}
		time.Sleep(2 * time.Second)
		if _, old := r.reports[0].Recent(); len(old) != 0 {
			t.Errorf("%d failures are reported after 2 s, want none", len(old))
		}
	})
}
