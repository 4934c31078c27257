package mirror

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func object(name string, revision uint64, spec string) Object {
	return NewObject(name, revision, []byte(spec), nil)
}

func names(m *Mirror, kind string) []string {
	var got []string
	for _, o := range m.Objects(kind) {
		got = append(got, fmt.Sprintf("%s@%d=%s", o.Name(), o.Revision(), o.Spec()))
	}
	return got
}

// Guards against a copy that goes back: a reading from before a change arrives
// after it, as from a store that answers out of date.
func TestOlderReadingIsIgnored(t *testing.T) {
	m := New(func(string) {}, "k")
	m.Replace("k", []Object{object("a", 5, "new")}, 10)
	m.Apply("k", []Event{NewEvent(object("a", 12, "newest"), false)}, 12)
	m.Replace("k", []Object{object("a", 5, "new")}, 11)
	m.Apply("k", []Event{NewEvent(object("a", 5, "new"), false), NewEvent(object("a", 5, ""), true)}, 11)
	if diff := cmp.Diff([]string{"a@12=newest"}, names(m, "k")); diff != "" {
		t.Errorf("objects (-want +got):\n%s", diff)
	}
}

// Guards against an object that was removed and made again and then vanishes by
// the late event of its first removal.
func TestLateRemovalOfAnEarlierObject(t *testing.T) {
	m := New(func(string) {}, "k")
	m.Replace("k", []Object{object("a", 9, "second")}, 9)
	m.Apply("k", []Event{NewEvent(object("a", 4, "first"), true)}, 9)
	if diff := cmp.Diff([]string{"a@9=second"}, names(m, "k")); diff != "" {
		t.Errorf("objects (-want +got):\n%s", diff)
	}
}

// Guards against neighbours that end with other objects than the daemon that
// watches, whatever they missed and in which order they ask.
func TestNeighboursConverge(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		source := New(func(string) {}, "k")
		source.Replace("k", nil, 1)
		followers := []*Mirror{New(func(string) {}, "k"), New(func(string) {}, "k"), New(func(string) {}, "k")}
		live := make(map[string]Object)
		for rev := uint64(2); rev < 900; rev++ {
			name := fmt.Sprintf("o%d", rng.Intn(12))
			if old, ok := live[name]; ok && rng.Intn(3) == 0 {
				delete(live, name)
				source.Apply("k", []Event{NewEvent(old, true)}, rev)
			} else {
				live[name] = object(name, rev, fmt.Sprint(rev))
				source.Apply("k", []Event{NewEvent(live[name], false)}, rev)
			}
			if f := followers[rng.Intn(3)]; rng.Intn(20) == 0 {
				f.Merge(source.Since(f.Versions()))
			}
		}
		for i, f := range followers {
			from := source
			if i > 0 {
				from = followers[i-1] // Changes are passed on from neighbour to neighbour.
			}
			f.Merge(from.Since(f.Versions()))
			if diff := cmp.Diff(names(source, "k"), names(f, "k")); diff != "" {
				t.Fatalf("seed %d, follower %d (-want +got):\n%s", seed, i, diff)
			}
			if left := from.Since(f.Versions()); len(left) > 0 {
				t.Errorf("seed %d, follower %d would fetch again", seed, i)
			}
		}
	}
}
