package syntax

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
)

// converter converts the parser's syntax tree to Nodes.
type converter struct {
	file     string
	problems *Problems
}

// node converts one value. The parameter fallback is the position of a value without a
// token.
func (c converter) node(n ast.Node, path string, fallback Position) *Node {
	out := &Node{path: path, position: c.position(n, fallback)}
	switch v := n.(type) {
	case nil, *ast.NullNode:
		out.kind = Null
	case *ast.StringNode:
		out.kind, out.scalar = Text, v.Value
	case *ast.LiteralNode:
		out.kind, out.scalar = Text, v.Value.Value
	case *ast.IntegerNode:
		out.kind, out.scalar = Integer, v.Token.Value
	case *ast.FloatNode:
		out.kind, out.scalar = Float, v.Token.Value
	case *ast.InfinityNode:
		out.kind, out.scalar = Float, v.Token.Value
	case *ast.NanNode:
		out.kind, out.scalar = Float, v.Token.Value
	case *ast.BoolNode:
		out.kind, out.scalar = Bool, v.Token.Value
	case *ast.SequenceNode:
		out.kind = Sequence
		for i, item := range v.Values {
			out.items = append(out.items, c.node(item, itemPath(path, i), out.position))
		}
	case *ast.MappingNode:
		c.mapping(out, v.Values, v.IsFlowStyle)
	case *ast.MappingValueNode:
		c.mapping(out, []*ast.MappingValueNode{v}, false)
	default:
		c.problems.AddAt(out, "a mapping, list or scalar", fmt.Sprintf("a YAML %s", n.Type()))
	}
	return out
}

func (c converter) mapping(out *Node, values []*ast.MappingValueNode, flow bool) {
	out.kind = Map
	seen := make(map[string]Position, len(values))
	for i, v := range values {
		at := c.position(v.Key, out.position)
		if i == 0 && !flow {
			out.position = at
		}
		key, ok := c.key(v.Key, at, out.path)
		if !ok {
			continue
		}
		path := childPath(out.path, key)
		if first, dup := seen[key]; dup {
			c.problems.Add(NewProblem(at, path, "each key once", fmt.Sprintf("a duplicate of the key at line %d, column %d", first.line, first.column)))
			continue
		}
		seen[key] = at
		out.entries = append(out.entries, Entry{key: key, position: at, value: c.node(v.Value, path, at)})
	}
}

func (c converter) key(n ast.MapKeyNode, at Position, path string) (string, bool) {
	switch k := n.(type) {
	case *ast.StringNode:
		return k.Value, true
	default:
		c.problems.Add(NewProblem(at, path, "a text key", fmt.Sprintf("a YAML %s", n.Type())))
		return "", false
	}
}

func (c converter) position(n ast.Node, fallback Position) Position {
	if n == nil {
		return fallback
	}
	tk := n.GetToken()
	if tk == nil || tk.Position == nil {
		return fallback
	}
	return NewPosition(c.file, tk.Position.Line, tk.Position.Column)
}
