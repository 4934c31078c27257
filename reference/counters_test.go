package reference_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against documenting a counter for alerts that the code does not count.
func TestDocumentedCountersExist(t *testing.T) {
	page, err := os.ReadFile("../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := regexp.MustCompile("(?m)^\\| `([a-z_]+\\.[a-z_.*]+)` \\|").FindAllStringSubmatch(string(page), -1)
	if len(rows) < 15 {
		t.Fatalf("found only %d counters in docs/operators.md", len(rows))
	}
	source := sourceText(t)
	for _, row := range rows {
		if name := row[1]; !isCounted(source, name) {
			t.Errorf("counter %q of docs/operators.md is not counted in the code", name)
		}
	}
}

// isCounted reports whether source counts name. The code may compose the last parts
// of the name at run time.
func isCounted(source, name string) bool {
	name = strings.TrimSuffix(name, "*")
	if strings.Contains(source, `"`+name+`"`) {
		return true
	}
	parts := strings.Split(strings.TrimSuffix(name, "."), ".")
	switch {
	case len(parts) > 1 && parts[1] == "refused" && strings.Contains(source, `meter.Refused("`+parts[0]+`"`):
		return true
	case len(parts) > 1 && parts[1] == "retried" && strings.Contains(source, `meter.Retried("`+parts[0]+`"`):
		return true
	case parts[0] == "peer" && parts[1] == "refused":
		return strings.Contains(source, `"peer.refused."+reason`) && strings.Contains(source, `"`+parts[2]+`")`)
	case parts[0] == "store":
		return strings.Contains(source, `meter.Count("store."+operation`) && strings.Contains(source, `"`+parts[1]+`"`) && strings.Contains(source, `"`+parts[2]+`"`)
	default:
		return false
	}
}

// sourceText returns the text of all Go files except tests.
func sourceText(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}
