package evaluate

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const referencePage = "../../docs/catalogue.md"

// Guards against examples on the reference page that are rejected, and against error
// listings on the page that differ from what the check prints.
func TestReferencePageExamples(t *testing.T) {
	text, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	blocks := regexp.MustCompile("(?ms)^```yaml( faulty)?\n(.*?)^```\n(?:\n```text\n(.*?)^```)?").FindAllStringSubmatch(string(text), -1)
	if len(blocks) < 4 {
		t.Fatalf("found %d examples in %s, want at least 4", len(blocks), referencePage)
	}
	for i, b := range blocks {
		_, err := Text("songs.yaml", []byte(b[2]), 1)
		if b[1] == "" && err != nil {
			t.Errorf("example %d is rejected:\n%v", i+1, err)
		}
		if b[1] != "" {
			if d := cmp.Diff(b[3], fmt.Sprintln(err)); d != "" {
				t.Errorf("example %d:\n%s", i+1, d)
			}
		}
	}
}

// Guards against defaults and ranges on the reference page that differ from those of
// the program.
func TestReferencePageTables(t *testing.T) {
	text, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		key      string
		fallback any
		accepted string
	}{
		{"class", "inherited", classType.Expected()},
		{"limits.rate", "inherited", rateType.Expected()},
		{"limits.concurrency", "inherited", concurrencyType.Expected()},
		{"policy", DefaultPolicy, policyType.Expected()},
		{"group_size", DefaultGroupSize, groupSizeType.Expected()},
		{"max_deadline", DefaultMaxDeadline, "a duration from 1ms to 50s"},
		{"hedge_quantile", DefaultHedgeQuantile, quantileType.Expected()},
		{"extra_budget", DefaultExtraBudget, budgetType.Expected()},
		{"patience_factor", DefaultPatienceFactor, patienceType.Expected()},
		{"slots", "required", slotsType.Expected()},
		{"connections", "required", connectionsType.Expected()},
		{"cold_limit", DefaultColdLimit, coldLimitType.Expected()},
		{"max_share", DefaultMaxShare, shareType.Expected()},
		{"max_error_ratio", DefaultMaxErrorRatio, errorRatioType.Expected()},
		{"max_latency_ratio", DefaultMaxLatencyRatio, latencyRatioType.Expected()},
		{"min_evidence", DefaultMinEvidence, evidenceType.Expected()},
	} {
		if want := fmt.Sprintf("| `%s` | %v | %s |", row.key, row.fallback, row.accepted); !strings.Contains(string(text), want) {
			t.Errorf("%s has no row %s", referencePage, want)
		}
	}
	if !strings.HasPrefix(deadlineType.Expected(), "a duration from 1ms to 50s") || !strings.Contains(string(text), countType.Expected()) {
		t.Errorf("%s does not match max_deadline, %q, or the number of shards, %q", referencePage, deadlineType.Expected(), countType.Expected())
	}
}
