package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/refusal"
)

func init() { invariant.PanicOnViolation() }

func limits(rate float64, concurrency int) catalogue.Limits {
	return catalogue.NewLimits(catalogue.LimitsSpec{Rate: rate, Concurrency: concurrency})
}

func testEstate(owner, class, service catalogue.Limits) (catalogue.Estate, *catalogue.Service) {
	s := catalogue.NewService(catalogue.ServiceSpec{EntrySpec: catalogue.EntrySpec{Name: "songs", Limits: service}})
	return catalogue.NewEstate(catalogue.EstateSpec{
		Generation: 1,
		Owners: []*catalogue.Owner{catalogue.NewOwner(catalogue.OwnerSpec{
			EntrySpec:   catalogue.EntrySpec{Name: "desk", Limits: owner},
			ClassLimits: map[catalogue.Class]catalogue.Limits{catalogue.Interactive: class},
		})},
		Services: []*catalogue.Service{s},
	}), s
}

// Guards against admission of an owner that is not in the catalogue, or of a
// class that the owner may not use.
func TestAdmitUnknownOwnerOrClass(t *testing.T) {
	l := NewLimiter(clocktest.New(), func() int { return 1 })
	estate, s := testEstate(limits(0, 0), limits(0, 0), limits(0, 0))
	for _, c := range []struct {
		owner string
		class catalogue.Class
		kind  refusal.Kind
	}{
		{"desk", catalogue.Interactive, refusal.None},
		{"desk", catalogue.Batch, refusal.ClassDenied},
		{"nobody", catalogue.Interactive, refusal.UnknownOwner},
	} {
		release, err := l.Admit(estate, c.owner, c.class, s)
		if c.kind == refusal.None {
			if err != nil {
				t.Fatal(err)
			}
			release()
			continue
		}
		if e := refusal.FromError(err); e.Kind() != c.kind || e.Ran() != refusal.NotRun {
			t.Errorf("%s, %s: %v", c.owner, c.class, err)
		}
	}
}

// Guards against an entry that admits more than its part of any limit, and
// against a refused request that uses up other limits.
func TestAdmitEntryPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clocktest.New()
		entries := rapid.IntRange(1, 7).Draw(t, "entries")
		rates := rapid.SliceOfN(rapid.Float64Range(1, 100), 3, 3).Draw(t, "rates")
		concurrency := rapid.SliceOfN(rapid.IntRange(1, 50), 3, 3).Draw(t, "concurrency")
		estate, s := testEstate(limits(rates[0], concurrency[0]), limits(rates[1], concurrency[1]), limits(rates[2], concurrency[2]))
		l := NewLimiter(clk, func() int { return entries })
		rate := min(rates[0], rates[1], rates[2]) / float64(entries)
		bound := max(1, min(concurrency[0], concurrency[1], concurrency[2])/entries)
		began, admitted := clk.Boot(), 0
		var open []func()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				clk.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			case 1:
				if len(open) > 0 {
					open[0]()
					open[0]() // A second call must have no effect.
					open = open[1:]
				}
			default:
				allowed := max(1, rate) + rate*(clk.Boot()-began).Seconds()
				release, err := l.Admit(estate, "desk", catalogue.Interactive, s)
				if err == nil {
					open, admitted = append(open, release), admitted+1
				} else if len(open) < bound && float64(admitted)+1 < allowed-1 && admitted == 0 {
					t.Fatalf("first request refused: %v", err)
				}
				if len(open) > bound || float64(admitted) > allowed+1 {
					t.Fatalf("%d in flight of %d, %d admitted of %g", len(open), bound, admitted, allowed)
				}
			}
		}
	})
}

// Guards against refused requests that use up tokens: many refusals because of
// a service at its concurrency limit must not delay the next request.
func TestAdmitRefusalKeepsTokens(t *testing.T) {
	clk := clocktest.New()
	l := NewLimiter(clk, func() int { return 1 })
	estate, s := testEstate(limits(10, 0), limits(10, 0), limits(0, 1))
	release, err := l.Admit(estate, "desk", catalogue.Interactive, s)
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if _, err := l.Admit(estate, "desk", catalogue.Interactive, s); err == nil {
			t.Fatal("service with a concurrency limit of 1 admits a second request")
		}
	}
	release()
	if _, err := l.Admit(estate, "desk", catalogue.Interactive, s); err != nil {
		t.Errorf("request after refusals: %v", err)
	}
}
