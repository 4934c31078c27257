package meter

import (
	"strings"
	"testing"
	"time"

	"medlaryard.example/medlaryard/refusal"
)

// Guards against output that scrapers reject: a name with characters that the
// format does not permit, a sample without a type, or a missing sample.
func TestWriteText(t *testing.T) {
	Refused("test", refusal.Deadline)
	Count("test.requests.rights-ledger", 3)
	Gauge("test.in_flight", 7)
	for ms := range 100 {
		ObserveLatency("test.latency", time.Duration(ms)*time.Millisecond)
	}
	var out strings.Builder
	if err := WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"# TYPE medlaryard_test_refused_deadline_total counter\nmedlaryard_test_refused_deadline_total 1\n",
		"medlaryard_test_requests_rights_ledger_total 3\n",
		"# TYPE medlaryard_test_in_flight gauge\nmedlaryard_test_in_flight 7\n",
		"# TYPE medlaryard_test_latency summary\nmedlaryard_test_latency{quantile=\"0.5\"} 49500\n",
		"medlaryard_test_latency_count 100\n",
	} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("exposition lacks %q:\n%s", line, out.String())
		}
	}
	typed := make(map[string]bool)
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if name, ok := strings.CutPrefix(line, "# TYPE "); ok {
			typed[strings.Fields(name)[0]] = true
			continue
		}
		name := strings.TrimSuffix(strings.FieldsFunc(line, func(r rune) bool { return r == ' ' || r == '{' })[0], "_count")
		if !typed[name] {
			t.Errorf("sample %q has no type", line)
		}
	}
}
