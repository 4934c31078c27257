package syntax_test

import (
	"strings"
	"testing"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Guards against texts that exhaust the parser's stack or time. Parse must reject
// them before it calls the parser.
func TestParseLimits(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"nested lists", strings.Repeat("[", 10_000), "f:1:33: (root): expected at most 32 levels of nesting"},
		{"nested mappings", strings.Repeat("{a: ", 5_000), "at most 32 levels of nesting"},
		{"lists in one line", strings.Repeat("- ", 10_000), "at most 32 levels of nesting"},
		{"keys of one mapping", strings.Repeat("a:\n", 5_000), "f:1001:2: (root): expected at most 1000 keys in one mapping"},
		{"keys of one flow mapping", "{" + strings.Repeat("a: 1, ", 5_000) + "}", "at most 1000 keys in one mapping"},
		{"keys after a nested mapping", strings.Repeat("a:\n  b: 1\n  c: 2\n", 10_000), "at most 1000 keys in one mapping"},
		{"empty list entries", strings.Repeat("-\n", 5_000), "f:1002:1: (root): expected at most 1000 empty values"},
		{"empty values in a list", strings.Repeat("- a:\n", 5_000), "at most 1000 empty values"},
		{"explicit keys", strings.Repeat("? a\n", 100), "found an explicit key"},
		{"long text", strings.Repeat("#", syntax.MaxTextBytes+1), "f: (root): expected at most 900000 bytes"},
		{"not UTF-8", "a: \xff", "expected UTF-8 text"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := syntax.Parse("f", []byte(tt.text)); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %.200v, want %q", err, tt.want)
			}
		})
	}
}

// Guards against a limit on keys that counts the keys of several mappings together.
func TestParseKeyLimitPerMapping(t *testing.T) {
	text := "l:\n" + strings.Repeat("  - a: 1\n    b: {c: 1, d: [e: 1]}\n    f:\n      g: 1\n    h:\n    - 1\n", 2_000) + "---\nm: 1\n"
	docs, err := syntax.Parse("f", []byte(text))
	if err != nil || len(docs) != 2 || len(docs[0].Entries()[0].Value().Items()) != 2_000 {
		t.Errorf("%d documents, error %v", len(docs), err)
	}
}
