package syntax

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// MaxText is the longest text in bytes. The store holds objects of up to 1 MB,
// and JSON escaping of the text must fit in the rest.
const MaxText = 900_000

// Parse returns one Node for each YAML document in text that is not empty. Name
// stands in positions. The error is a *Problems; with a fault of single keys,
// such as a duplicate, the rest of the tree is returned as well.
func Parse(name string, text []byte) ([]*Node, error) {
	ps := &Problems{}
	if !checkText(name, text, ps) {
		return nil, ps.Err()
	}
	tokens := lexer.Tokenize(string(text))
	if !checkTokens(name, tokens, ps) {
		return nil, ps.Err()
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		ps.Add(syntaxProblem(name, err))
		return nil, ps.Err()
	}
	c := converter{file: name, problems: ps}
	var docs []*Node
	for _, doc := range file.Docs {
		if !isEmpty(doc.Body) {
			docs = append(docs, c.node(doc.Body, "", Position{file: name, line: 1, column: 1}))
		}
	}
	return docs, ps.Err()
}

func isEmpty(n ast.Node) bool {
	if n == nil {
		return true
	}
	switch n.(type) {
	case *ast.NullNode, *ast.CommentGroupNode, *ast.CommentNode:
		return true
	}
	return false
}

func checkText(name string, text []byte, ps *Problems) bool {
	at := Position{file: name}
	if len(text) > MaxText {
		ps.Add(NewProblem(at, "", fmt.Sprintf("at most %d bytes", MaxText), fmt.Sprintf("%d bytes", len(text))))
		return false
	}
	if !utf8.Valid(text) {
		ps.Add(NewProblem(at, "", "UTF-8 text", "bytes that are not UTF-8"))
		return false
	}
	return true
}

func syntaxProblem(name string, err error) Problem {
	at := Position{file: name}
	var fault *yaml.SyntaxError
	if !errors.As(err, &fault) {
		return NewProblem(at, "", "valid YAML", err.Error())
	}
	if tk := fault.GetToken(); tk != nil && tk.Position != nil {
		at = NewPosition(name, tk.Position.Line, tk.Position.Column)
	}
	// The time of fault.Error grows with the square of the text.
	return NewProblem(at, "", "valid YAML", fault.GetMessage())
}
