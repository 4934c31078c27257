package syntax

import (
	"sort"
	"strings"
)

// Mapping reads the keys of one Map node and reports those that nothing read.
type Mapping struct {
	node     *Node
	problems *Problems
	entries  map[string]Entry
	known    map[string]bool
}

// ReadMapping starts to read n. When n is not a mapping the fault is recorded,
// and the result has no keys and reports no further faults.
func ReadMapping(n *Node, ps *Problems) *Mapping {
	m := &Mapping{node: n, problems: ps, entries: make(map[string]Entry, len(n.entries)), known: make(map[string]bool)}
	if n.kind != Map {
		ps.AddAt(n, "a mapping", n.Found())
		m.problems = &Problems{}
	}
	for _, e := range n.entries {
		m.entries[e.key] = e
	}
	return m
}

// Node is the node that the mapping reads.
func (m *Mapping) Node() *Node { return m.node }

// Problems receives the faults of the mapping.
func (m *Mapping) Problems() *Problems { return m.problems }

// Get returns the value under key, or nil, and marks key as known.
func (m *Mapping) Get(key string) *Node {
	m.known[key] = true
	return m.entries[key].value
}

// Require is Get that records a missing key; expected describes its value.
func (m *Mapping) Require(key, expected string) *Node {
	n := m.Get(key)
	if n == nil {
		m.problems.Add(NewProblem(m.node.position, childPath(m.node.path, key), expected, "no such key"))
	}
	return n
}

// List returns the elements of the list under key; none when key is absent.
func (m *Mapping) List(key string) []*Node {
	n := m.Get(key)
	if n == nil {
		return nil
	}
	if n.kind != Sequence {
		m.problems.AddAt(n, "a list", n.Found())
		return nil
	}
	return n.items
}

// Close records every key that was neither read nor asked for.
func (m *Mapping) Close() {
	var names []string
	for k := range m.known {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, e := range m.node.entries {
		if !m.known[e.key] {
			m.problems.Add(NewProblem(e.position, childPath(m.node.path, e.key), "one of the keys "+strings.Join(names, ", "), "an unknown key"))
		}
	}
}
