package syntax

// Type describes the accepted values of a scalar and converts it to a T.
type Type[T any] struct {
	expected string
	parse    func(*Node) (T, bool)
}

// NewType returns a Type. The function parse converts a node and reports whether it
// is accepted.
func NewType[T any](expected string, parse func(*Node) (T, bool)) Type[T] {
	return Type[T]{expected: expected, parse: parse}
}

// Expected describes the accepted values for messages and reference pages.
func (t Type[T]) Expected() string { return t.expected }

// Value converts n. If n is not accepted, it records a Problem and returns false.
func (t Type[T]) Value(n *Node, ps *Problems) (T, bool) {
	v, ok := t.parse(n)
	if !ok {
		ps.AddAt(n, t.expected, n.Found())
	}
	return v, ok
}

// Optional returns the value of key, or fallback if the key is absent or its value
// is faulty.
func Optional[T any](m *Mapping, key string, t Type[T], fallback T) T {
	n := m.Get(key)
	if n == nil {
		return fallback
	}
	if v, ok := t.Value(n, m.problems); ok {
		return v
	}
	return fallback
}

// Required returns the value of key. If the key is absent or its value is faulty, it
// records a Problem.
func Required[T any](m *Mapping, key string, t Type[T]) T {
	n := m.Require(key, t.expected)
	var v T
	if n != nil {
		v, _ = t.Value(n, m.problems)
	}
	return v
}

// Values returns the elements of the list under key, without the faulty ones.
func Values[T any](m *Mapping, key string, t Type[T]) []T {
	var out []T
	for _, n := range m.List(key) {
		if v, ok := t.Value(n, m.problems); ok {
			out = append(out, v)
		}
	}
	return out
}
