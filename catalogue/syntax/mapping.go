package syntax

import (
	"sort"
	"strings"
)

// Mapping reads the keys of one Map node and records unknown keys as Problems.
type Mapping struct {
	node     *Node
	problems *Problems
	entries  map[string]Entry
	known    map[string]bool
}

// ReadMapping returns a Mapping for n. If n is not a mapping, ReadMapping records that
// in ps and returns a Mapping that has no keys and records nothing else in ps.
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

// Node returns the node that the mapping reads.
func (m *Mapping) Node() *Node { return m.node }

// Problems returns the list in which the faults of the mapping are recorded.
func (m *Mapping) Problems() *Problems { return m.problems }

// Get returns the value of key, or nil if the key is absent, and marks key as known.
func (m *Mapping) Get(key string) *Node {
	m.known[key] = true
	return m.entries[key].value
}

// Require returns the value of key like Get. If the key is absent, it records a
// Problem with expected as the description of the value.
func (m *Mapping) Require(key, expected string) *Node {
	n := m.Get(key)
	if n == nil {
		m.problems.Add(NewProblem(m.node.position, childPath(m.node.path, key), expected, "no such key"))
	}
	return n
}

// List returns the elements of the list under key, or nil if the key is absent or its
// value is not a list. The latter is recorded as a Problem.
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

// Close records a Problem for every key that no earlier call on m has read.
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
