package syntax

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// maxDepth bounds the nesting, so that a malicious text cannot exhaust the parser's
// stack. The deepest value of a catalogue is at level 9.
const maxDepth = 32

// checkTokens rejects unsupported constructs and exceeded limits before the parser
// recurses into them.
func checkTokens(name string, tokens token.Tokens, ps *Problems) bool {
	ok := true
	// Each block indicator on a line may open a nested collection.
	flowDepth, lineIndicators, line := 0, 0, 0
	var keys keyCounter
	var nulls nullCounter
	var previous *token.Token
	for _, tk := range tokens {
		at := NewPosition(name, tk.Position.Line, tk.Position.Column)
		if construct := unsupportedToken(tk.Type); construct != "" {
			ps.Add(NewProblem(at, "", "plain mappings, lists and scalars", construct))
			ok = false
		}
		if tk.Position.Line != line {
			lineIndicators, line = 0, tk.Position.Line
		}
		switch tk.Type {
		case token.SequenceStartType, token.MappingStartType:
			flowDepth++
		case token.SequenceEndType, token.MappingEndType:
			flowDepth--
		case token.SequenceEntryType, token.MappingValueType:
			lineIndicators++
		}
		if flowDepth > maxDepth || (flowDepth == 0 && lineIndicators > maxDepth) {
			ps.Add(NewProblem(at, "", fmt.Sprintf("at most %d levels of nesting", maxDepth), "more"))
			return false
		}
		if keys.add(previous, tk) > maxKeys {
			ps.Add(NewProblem(at, "", fmt.Sprintf("at most %d keys in one mapping", maxKeys), "more"))
			return false
		}
		if nulls.add(tk) > maxNulls {
			ps.Add(NewProblem(at, "", fmt.Sprintf("at most %d empty values", maxNulls), "more"))
			return false
		}
		previous = tk
	}
	return ok
}

func unsupportedToken(t token.Type) string {
	switch t {
	case token.AnchorType:
		return "an anchor"
	case token.AliasType:
		return "an alias"
	case token.TagType:
		return "a tag"
	case token.MappingKeyType:
		return "an explicit key"
	case token.MergeKeyType:
		return "a merge key"
	case token.DirectiveType:
		return "a directive"
	default:
		return ""
	}
}
