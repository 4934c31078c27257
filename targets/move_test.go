package targets_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/standin/shards"
	"medlaryard.example/medlaryard/targets"
	"medlaryard.example/medlaryard/upgrade"
)

// Guards against evidence of an order that comes from calls of an earlier one for the same
// version, also if they are answered later.
func TestGroupEvidenceOfOneOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, behaviour(), targets.Version("v1"))
		defer f.close()
		f.addTarget(behaviour(shards.Failing(1)), targets.Version("v2"))
		f.group.Update(f.entries)
		first, second := upgrade.NewOrderID(0, 1), upgrade.NewOrderID(0, 2)
		f.group.Divide(upgrade.NewDivision(first, "v2", upgrade.EqualShare(0.5)))
		for i := range 10 {
			f.send(fmt.Sprintf("q%d", i), true)
		}
		results := make(chan *targets.Call, 1)
		late := targets.NewRequest("late", "GET", "/p/late", "h", nil, nil, true, clock.System{}.Boot()+time.Hour)
		if !f.group.Submit(targets.NewCall(late, f.routeLatency, results)) {
			t.Fatal("the call is not accepted")
		}
		f.group.Divide(upgrade.NewDivision(second, "v2", upgrade.EqualShare(0)))
		<-results
		got := []int{f.group.Evidence(second).Total().Old().Requests(), f.group.Evidence(second).Total().New().Requests(), len(f.group.Evidence(first))}
		if diff := cmp.Diff([]int{0, 0, 0}, got); diff != "" {
			t.Errorf("old and new requests of the second order, routes of the first (-want +got):\n%s", diff)
		}
	})
}

// Guards against requests at a version whose order was rolled back, or ended while it ran:
// as the old version of a later order, and after the order was deleted.
func TestGroupWithheldVersions(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []string // Of the targets.
		division upgrade.Division
		want     []int // Requests of 20 at each target.
	}{
		{"rolled back, later order", []string{"v1", "v2", "v3"}, withholding(upgrade.NewDivision(upgrade.NewOrderID(0, 2), "v3", upgrade.EqualShare(0.25)), upgrade.Bad), []int{15, 0, 5}},
		{"undecided, later order", []string{"v1", "v2", "v3"}, withholding(upgrade.NewDivision(upgrade.NewOrderID(0, 2), "v3", upgrade.EqualShare(0.25)), upgrade.Undecided), []int{15, 0, 5}},
		{"rolled back, no order", []string{"v1", "v2"}, withholding(upgrade.Division{}, upgrade.Bad), []int{20, 0}},
		{"undecided, no order", []string{"v1", "v2"}, withholding(upgrade.Division{}, upgrade.Undecided), []int{20, 0}},
		{"undecided, nothing else is left", []string{"v2"}, withholding(upgrade.Division{}, upgrade.Undecided), []int{20}},
		{"rolled back, nothing else is left", []string{"v2"}, withholding(upgrade.Division{}, upgrade.Bad), []int{0}},
		{"back to the version in force", []string{"v1", "v2"}, withholding(upgrade.NewDivision(upgrade.NewOrderID(0, 2), "v1", upgrade.EqualShare(0.1)), upgrade.Undecided), []int{20, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(1, behaviour(), targets.Version(c.versions[0]))
				defer f.close()
				for _, v := range c.versions[1:] {
					f.addTarget(behaviour(), targets.Version(v))
				}
				f.group.Update(f.entries)
				f.group.Divide(c.division)
				for i := range 20 {
					f.send(fmt.Sprintf("q%d", i), true)
				}
				var got []int
				for _, target := range f.targets {
					got = append(got, len(target.Runs()))
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("requests at each target (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// withholding returns d with the version v2 withheld.
func withholding(d upgrade.Division, why upgrade.Withholding) upgrade.Division {
	return d.Without(map[string]upgrade.Withholding{"v2": why})
}

// Guards against calls to a new version that leave no evidence, or wrong evidence, because of
// the way in which they end.
func TestGroupEvidenceOfEachEnd(t *testing.T) {
	const slow = 20 // Times the usual latency; longer than a call is kept that was given up.
	for _, c := range []struct {
		name string
		b    shards.Behaviour // Of the new version.
		end  func(f *fixture, c *targets.Call)
		want []int // Answers of the new version, and bad ones.
	}{
		{"answered", behaviour(), waitForEnd, []int{1, 0}},
		{"answered slowly", behaviour(shards.Slow(slow)), waitForEnd, []int{1, 1}},
		{"failed", behaviour(shards.Failing(1)), waitForEnd, []int{1, 1}},
		{"refused", behaviour(shards.Shedding(1)), waitForEnd, []int{1, 1}},
		{"cut", behaviour(shards.DroppingReplies(1)), waitForEnd, []int{1, 1}},
		{"hedged away", behaviour(shards.Slow(100)), giveUp(30*time.Millisecond, false), []int{1, 1}},
		{"timed out", behaviour(shards.Silent()), giveUp(400*time.Millisecond, false), []int{1, 1}},
		{"cancelled by its client", behaviour(shards.Slow(100)), giveUp(10*time.Millisecond, true), []int{1, 1}},
		{"answered after it was hedged away", behaviour(), giveUp(time.Millisecond, false), []int{1, 0}},
		{"answered after its client has left", behaviour(), giveUp(time.Millisecond, true), []int{1, 0}},
		{"unanswered yet", behaviour(shards.Silent()), func(*fixture, *targets.Call) { time.Sleep(100 * time.Millisecond) }, []int{1, 1}},
		{"unanswered for a short time", behaviour(shards.Silent()), func(*fixture, *targets.Call) { time.Sleep(time.Millisecond) }, []int{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(1, behaviour(), targets.Version("v1"))
				defer f.close()
				for i := range 50 {
					f.send(fmt.Sprintf("q%d", i), true) // The usual latency is known.
				}
				f.addTarget(c.b, targets.Version("v2"))
				f.group.Update(f.entries)
				time.Sleep(50 * time.Millisecond)
				order := upgrade.NewOrderID(0, 1)
				f.group.Divide(upgrade.NewDivision(order, "v2", upgrade.EqualShare(0.999999)))
				results := make(chan *targets.Call, 2)
				var call *targets.Call
				for i := range 2 { // The credit is enough for the second one.
					req := targets.NewRequest(fmt.Sprintf("new%d", i), "GET", "/p/new", "h", nil, nil, true, clock.System{}.Boot()+time.Hour)
					call = targets.NewCall(req, f.routeLatency, results)
					if !f.group.Submit(call) {
						t.Fatal("the call is not accepted")
					}
					if i == 0 {
						<-results
					}
				}
				c.end(f, call)
				total := f.group.Evidence(order).Total().New()
				if diff := cmp.Diff(c.want, []int{total.Requests(), total.Bad()}); diff != "" {
					t.Errorf("answers of the new version and bad ones (-want +got):\n%s", diff)
				}
				f.group.Abandon(call, false)
			})
		})
	}
}

// waitForEnd waits until a call has ended.
func waitForEnd(*fixture, *targets.Call) { time.Sleep(time.Second) }

// giveUp returns a function that abandons a call after a time, and waits until it is closed.
func giveUp(after time.Duration, callerLeft bool) func(f *fixture, c *targets.Call) {
	return func(f *fixture, c *targets.Call) {
		time.Sleep(after)
		f.group.Abandon(c, callerLeft)
		time.Sleep(2 * time.Second)
	}
}
