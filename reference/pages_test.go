package reference_test

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/reference"
)

var update = flag.Bool("update", false, "rewrite the pages from the tables")

// Guards against a reference page that differs from the table in the code.
func TestPagesEqualTables(t *testing.T) {
	kinds, err := os.ReadFile("../refusal/kind.go")
	if err != nil {
		t.Fatal(err)
	}
	errorsPage, err := reference.Errors(kinds)
	if err != nil {
		t.Fatal(err)
	}
	for page, want := range map[string]string{
		"settings": reference.Settings(), "errors": errorsPage, "CAPACITY": reference.Capacity(),
	} {
		path := "../docs/" + page + ".md"
		if *update {
			if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		got, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want, string(got)); d != "" {
			t.Errorf("%s differs from its table:\n%s", path, d)
		}
	}
}
