package evaluate

import (
	"fmt"
	"math"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// searcherValues are the values of a searcher that a service, a shard or a row of
// replicas can set for all its searchers.
type searcherValues struct {
	Domain      string
	Version     string
	Slots       int
	Connections int
	ColdLimit   int
}

// readSearcherValues returns the searcher values that m sets. Absent keys default to the
// values of the enclosing entry.
func (e *evaluator) readSearcherValues(m *syntax.Mapping, enclosing searcherValues) searcherValues {
	v := enclosing
	if n := m.Get("domain"); n != nil {
		v.Domain = invalidValue
		if name, ok := syntax.Name.Value(n, e.problems); ok {
			v.Domain = name
			e.addReference(n, &e.domains, name)
		}
	}
	v.Version = override(m, "version", syntax.Name, v.Version, invalidValue)
	v.Slots = override(m, "slots", slotsType, v.Slots, 1)
	v.Connections = override(m, "connections", connectionsType, v.Connections, math.MaxInt32)
	v.ColdLimit = override(m, "cold_limit", coldLimitType, v.ColdLimit, 1)
	return v
}

// override returns the value of key, the inherited value if the key is absent, or
// substitute if the value is faulty.
func override[T any](m *syntax.Mapping, key string, t syntax.Type[T], inherited, substitute T) T {
	n := m.Get(key)
	if n == nil {
		return inherited
	}
	if v, ok := t.Value(n, m.Problems()); ok {
		return v
	}
	return substitute
}

// checkSearcherValues records a Problem for each missing value and for values that
// contradict each other.
func (e *evaluator) checkSearcherValues(m *syntax.Mapping, v searcherValues) {
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
	// An established home uses at most four fifths of the connections. The other fifth
	// is reserved for a new home.
	if usable := v.Connections * 4 / 5; usable < v.Slots {
		e.problems.AddAt(m.Node(), fmt.Sprintf("connections of which four fifths cover the %d slots", v.Slots), fmt.Sprintf("%d connections", v.Connections))
	}
	if v.ColdLimit > v.Slots {
		e.problems.AddAt(m.Node(), fmt.Sprintf("a cold_limit of at most the %d slots", v.Slots), fmt.Sprintf("a cold_limit of %d", v.ColdLimit))
	}
}

func (e *evaluator) searcher(n *syntax.Node, shard catalogue.EntrySpec, defaults searcherValues, searcherNames *nameSet) *catalogue.Searcher {
	m := syntax.ReadMapping(n, e.problems)
	defer m.Close()
	entry := e.entry(m, shard)
	searcherNames.declare(entry.Name, m.Get("name"))
	v := e.readSearcherValues(m, defaults)
	e.checkSearcherValues(m, v)
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
