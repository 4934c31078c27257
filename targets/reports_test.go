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

// reporting is two daemons' groups over the same targets.
type reporting struct {
	*world
	reports [2]*targets.Reports
	groups  [2]*targets.Group
}

func newReporting(b ...shards.Behaviour) *reporting {
	r := &reporting{world: newWorld(0, sound())}
	for _, behaviour := range b {
		r.add(behaviour)
	}
	for i := range r.groups {
		r.reports[i] = targets.NewReports(clock.System{})
		r.groups[i] = targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(r.emulator.Dial),
			targets.PreferDomain("a"), targets.ReportTo(r.reports[i]))
		r.groups[i].Resize(targets.NewSizing(3, targets.ColdLimits{}, targets.NewBudgetLimits(0.2, 54, 1), true))
		r.groups[i].Update(r.entries)
	}
	time.Sleep(50 * time.Millisecond)
	return r
}

// load sends n requests through one daemon.
func (r *reporting) load(daemon, n int) {
	r.group, r.groups[daemon] = r.groups[daemon], r.group
	for i := range n {
		r.send(fmt.Sprintf("d%d-%d", daemon, i), true)
	}
	r.group, r.groups[daemon] = r.groups[daemon], r.group
}

// tell hands the failures that the first daemon saw to the second one.
func (r *reporting) tell() int {
	_, reports := r.reports[0].Recent()
	byTarget := make(map[uint64][]targets.Report)
	for _, t := range reports {
		byTarget[t.Target()] = append(byTarget[t.Target()], t)
	}
	r.groups[1].MergeReports(byTarget)
	return len(reports)
}

func (r *reporting) end() {
	for _, g := range r.groups {
		g.Close()
	}
	r.close()
}

// Guards against daemons that each find out on their own that a target fails.
func TestFailuresAreToldToOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReporting(sound(shards.Failing(1)), sound(), sound())
		defer r.end()
		r.load(0, 12)
		if r.tell() == 0 {
			t.Fatal("the first daemon saw no failure")
		}
		before := len(r.targets[0].Runs())
		r.load(1, 12)
		if n := len(r.targets[0].Runs()) - before; n != 0 {
			t.Errorf("the second daemon sent %d of 12 requests to a target that was told to fail, want none", n)
		}
		time.Sleep(8 * time.Second)
		r.targets[0].SetBehaviour(sound())
		r.load(1, 30)
		if n := len(r.targets[0].Runs()) - before; n < 5 {
			t.Errorf("the target got %d of 30 requests after it had recovered, want 5 or more", n)
		}
	})
}

// Guards against a daemon that is cut off and tells the others that all targets
// fail.
func TestFaultyReporterIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReporting(sound(shards.Failing(1)), sound(shards.Failing(1)), sound(shards.Failing(1)))
		defer r.end()
		r.load(0, 30)
		if n := r.tell(); n != 0 {
			t.Errorf("a daemon for which everything fails told %d failures, want none", n)
		}
	})
}

// Guards against reports that pile up, or that are told for ever.
func TestReportsAreBoundedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReporting(sound(shards.Failing(0.3)), sound(shards.Failing(0.3)))
		defer r.end()
		r.load(0, 400)
		first, reports := r.reports[0].Recent()
		if len(reports) == 0 || len(reports) > 60 {
			t.Errorf("%d failures are told, want 1 to 60", len(reports))
		}
		again, same := r.reports[0].Recent()
		if again != first || len(same) != len(reports) {
			t.Errorf("asked again, %d reports from %d on, want %d from %d on", len(same), again, len(reports), first)
		}
		time.Sleep(2 * time.Second)
		if _, old := r.reports[0].Recent(); len(old) != 0 {
			t.Errorf("%d failures are told after 2 s, want none", len(old))
		}
	})
}
