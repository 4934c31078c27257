package evaluate

import (
	"fmt"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

func (e *evaluator) service(n *syntax.Node, root catalogue.EntrySpec) {
	m := syntax.ReadMapping(n, e.problems)
	defer m.Close()
	spec := catalogue.ServiceSpec{
		EntrySpec:      e.entry(m, root),
		Policy:         syntax.Optional(m, "policy", policyType, DefaultPolicy),
		GroupSize:      syntax.Optional(m, "group_size", groupSizeType, DefaultGroupSize),
		MaxDeadline:    syntax.Optional(m, "max_deadline", deadlineType, DefaultMaxDeadline),
		HedgeQuantile:  syntax.Optional(m, "hedge_quantile", quantileType, DefaultHedgeQuantile),
		ExtraBudget:    syntax.Optional(m, "extra_budget", budgetType, DefaultExtraBudget),
		PatienceFactor: syntax.Optional(m, "patience_factor", patienceType, DefaultPatienceFactor),
		NonIdempotent:  syntax.Optional(m, "non_idempotent", syntax.Boolean, false),
	}
	e.services.declare(spec.Name, m.Get("name"))
	defaults := e.searcherDefaults(m)
	spec.Shards = e.shards(m, spec.EntrySpec, defaults)
	if spec.NonIdempotent && len(spec.Shards) > 1 {
		e.problems.AddAt(m.Get("non_idempotent"), "false for a service with several shards, since a request must run on one searcher", fmt.Sprintf("true with %d shards", len(spec.Shards)))
	}
	spec.Moves = e.moves(m, spec)
	e.spec.Services = append(e.spec.Services, catalogue.NewService(spec))
}

// searcherDefaults reads the values that the searchers of a service inherit.
func (e *evaluator) searcherDefaults(m *syntax.Mapping) searcherValues {
	n := m.Get("searcher")
	if n == nil {
		return searcherValues{ColdLimit: DefaultColdLimit}
	}
	d := syntax.ReadMapping(n, e.problems)
	defer d.Close()
	return e.readSearcherValues(d, searcherValues{ColdLimit: DefaultColdLimit})
}

func (e *evaluator) shards(m *syntax.Mapping, service catalogue.EntrySpec, defaults searcherValues) []*catalogue.Shard {
	n := m.Require("shards", "a list of shards, or a mapping with count and replicas")
	if n == nil {
		return nil
	}
	switch n.Kind() {
	case syntax.Map:
		return e.compactShards(n, service, defaults)
	case syntax.Sequence:
		return e.explicitShards(n, service, defaults)
	default:
		e.problems.AddAt(n, "a list of shards, or a mapping with count and replicas", n.Found())
		return nil
	}
}

// explicitShards reads shards that are listed one by one.
func (e *evaluator) explicitShards(n *syntax.Node, service catalogue.EntrySpec, defaults searcherValues) []*catalogue.Shard {
	shardNames := newNameSet("shard name", e.problems)
	searcherNames := newNameSet("searcher name", e.problems)
	var shards []*catalogue.Shard
	for _, item := range n.Items() {
		m := syntax.ReadMapping(item, e.problems)
		spec := catalogue.ShardSpec{EntrySpec: e.entry(m, service)}
		shardNames.declare(spec.Name, m.Get("name"))
		shardDefaults := e.readSearcherValues(m, defaults)
		for _, s := range m.List("searchers") {
			spec.Searchers = append(spec.Searchers, e.searcher(s, spec.EntrySpec, shardDefaults, &searcherNames))
		}
		if len(spec.Searchers) == 0 {
			m.Require("searchers", "a list of at least one searcher")
		}
		shards = append(shards, catalogue.NewShard(spec))
		m.Close()
	}
	if len(shards) == 0 {
		e.problems.AddAt(n, "at least one shard", "an empty list")
	}
	return shards
}
