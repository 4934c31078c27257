package evaluate

import (
	"fmt"
	"math"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// searcherValues are the keys of a searcher that a service, a shard or a
// replica row can set for all searchers in it.
type searcherValues struct {
	Domain      string
	Version     string
	Slots       int
	Connections int
	ColdLimit   int
}

// values reads searcher keys; what is left out comes from the enclosing entry.
func (e *evaluator) values(m *syntax.Mapping, enclosing searcherValues) searcherValues {
	v := enclosing
	if n := m.Get("domain"); n != nil {
		v.Domain = faulty
		if name, ok := syntax.Name.Value(n, e.problems); ok {
			v.Domain = name
			e.refer(n, &e.domains, name)
		}
	}
	v.Version = override(m, "version", syntax.Name, v.Version, faulty)
	v.Slots = override(m, "slots", slotsType, v.Slots, 1)
	v.Connections = override(m, "connections", connectionsType, v.Connections, math.MaxInt32)
	v.ColdLimit = override(m, "cold_limit", coldLimitType, v.ColdLimit, 1)
	return v
}

// override reads the value under key, or returns the inherited one when the key
// is absent and instead when its value is faulty.
func override[T any](m *syntax.Mapping, key string, t syntax.Type[T], inherited, instead T) T {
	n := m.Get(key)
	if n == nil {
		return inherited
	}
	if v, ok := t.Value(n, m.Problems()); ok {
		return v
	}
	return instead
}

// complete records each value that no enclosing entry set, and values that do not fit together.
func (e *evaluator) complete(m *syntax.Mapping, v searcherValues) {
	if v.Domain == "" {
		m.Require("domain", "the name of a failure domain, here or in an enclosing entry")
	}
	if v.Version == "" {
		m.Require("version", "the version of the searcher, here or in an enclosing entry")
	}
	if v.Slots == 0 {
		m.Require("slots", slotsType.Expected()+", here or in an enclosing entry")
	}
	if v.Connections == 0 {
		m.Require("connections", connectionsType.Expected()+", here or in an enclosing entry")
	}
	if v.Slots == 0 || v.Connections == 0 {
		return
	}
	// An established home leaves a fifth of the connections unused.
	if usable := v.Connections * 4 / 5; usable < v.Slots {
		e.problems.AddAt(m.Node(), fmt.Sprintf("connections of which four fifths cover the %d slots", v.Slots), fmt.Sprintf("%d connections", v.Connections))
	}
	if v.ColdLimit > v.Slots {
		e.problems.AddAt(m.Node(), fmt.Sprintf("a cold_limit of at most the %d slots", v.Slots), fmt.Sprintf("a cold_limit of %d", v.ColdLimit))
	}
}

func (e *evaluator) searcher(n *syntax.Node, shard catalogue.EntrySpec, defaults searcherValues, taken *names) *catalogue.Searcher {
	m := syntax.ReadMapping(n, e.problems)
	defer m.Close()
	entry := e.entry(m, shard)
	taken.declare(entry.Name, m.Get("name"))
	v := e.values(m, defaults)
	e.complete(m, v)
	address := syntax.Required(m, "address", syntax.Address)
	e.addresses.declare(address, m.Get("address"))
	return newSearcher(entry, address, v)
}

func newSearcher(entry catalogue.EntrySpec, address string, v searcherValues) *catalogue.Searcher {
	return catalogue.NewSearcher(catalogue.SearcherSpec{
		EntrySpec:   entry,
		Address:     address,
		Domain:      v.Domain,
		Version:     v.Version,
		Slots:       v.Slots,
		Connections: v.Connections,
		ColdLimit:   v.ColdLimit,
	})
}
