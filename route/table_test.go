package route

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a match of a shorter prefix instead of a longer one, and
// against a match of a route of another host.
func TestTableMatch(t *testing.T) {
	table := NewTable(3, []*Route{
		New("all", "a.example", "/"),
		New("songs", "a.example", "/songs/"),
		New("lyrics", "a.example", "/songs/lyrics/"),
		New("other", "b.example", "/songs/"),
	}, nil, Limits{})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/songs/lyrics/1", "lyrics"},
		{"a.example", "/songs/lyrics", "songs"},
		{"a.example", "/songsters", "all"},
		{"b.example", "/songs/lyrics/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/songs/", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name()
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s%s (-want +got):\n%s", c.host, c.path, diff)
		}
	}
}

// Guards against shares that match the weights only in the long run.
func TestNextServiceWeights(t *testing.T) {
	r := New("r", "h", "/", Split([]string{"a", "b", "c"}, []float64{7, 2, 1}))
	for window := range 5 {
		got := make(map[string]int)
		for range 10 {
			got[r.NextService()]++
		}
		if diff := cmp.Diff(map[string]int{"a": 7, "b": 2, "c": 1}, got); diff != "" {
			t.Errorf("ten requests in window %d (-want +got):\n%s", window, diff)
		}
	}
}

// Guards against accepting too few parts, and against requiring one part too
// many because of a rounding error.
func TestMinShards(t *testing.T) {
	for _, c := range []struct {
		shards      int
		minCoverage float64
		want        int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {20, 0.95, 19}, {30, 0.9, 27}, {90, 0.95, 86}, {3, 0, 1}, {100, 0.07, 7}} {
		r := New("r", "h", "/", Sharded(make([]string, c.shards), 5, c.minCoverage))
		if got := r.MinShards(); got != c.want {
			t.Errorf("%v of %d shards need %d parts, want %d", c.minCoverage, c.shards, got, c.want)
		}
	}
}

// Guards against serving a route in a region that is not allowed for it.
func TestAllowsRegion(t *testing.T) {
	r := New("r", "h", "/", Regions([]string{"north"}), Timeout(time.Second))
	got := []bool{r.AllowsRegion("north"), r.AllowsRegion("south"), New("s", "h", "/").AllowsRegion("south")}
	if diff := cmp.Diff([]bool{true, false, true}, got); diff != "" {
		t.Errorf("allowed regions (-want +got):\n%s", diff)
	}
}
