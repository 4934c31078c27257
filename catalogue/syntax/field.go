package syntax

// Type is how a scalar is read: what is expected, and the conversion.
type Type[T any] struct {
	expected string
	parse    func(*Node) (T, bool)
}

// NewType returns a Type; parse reports whether the node is acceptable.
func NewType[T any](expected string, parse func(*Node) (T, bool)) Type[T] {
	return Type[T]{expected: expected, parse: parse}
}

// Expected describes the accepted values, for messages and reference pages.
func (t Type[T]) Expected() string { return t.expected }

// Value reads n and records a Problem when it is not acceptable.
func (t Type[T]) Value(n *Node, ps *Problems) (T, bool) {
	v, ok := t.parse(n)
	if !ok {
		ps.AddAt(n, t.expected, n.Found())
	}
	return v, ok
}

// Optional reads the value under key, or returns fallback when the key is
// absent or its value is faulty.
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

// Required reads the value under key and records its absence.
func Required[T any](m *Mapping, key string, t Type[T]) T {
	n := m.Require(key, t.expected)
	var v T
	if n != nil {
		v, _ = t.Value(n, m.problems)
	}
	return v
}

// Values reads every element of the list under key; faulty elements are left out.
func Values[T any](m *Mapping, key string, t Type[T]) []T {
	var out []T
	for _, n := range m.List(key) {
		if v, ok := t.Value(n, m.problems); ok {
			out = append(out, v)
		}
	}
	return out
}
