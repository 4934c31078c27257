package evaluate

import (
	"fmt"
	"strconv"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// compactShards reads shards that are declared as a count and rows of replicas. The
// address at index i of a row belongs to shard i modulo count.
func (e *evaluator) compactShards(n *syntax.Node, service catalogue.EntrySpec, defaults searcherValues) []*catalogue.Shard {
	m := syntax.ReadMapping(n, e.problems)
	defer m.Close()
	count := syntax.Required(m, "count", countType)
	rows := m.List("replicas")
	if len(rows) == 0 {
		m.Require("replicas", "a list of rows with domain and addresses")
	}
	specs := make([]catalogue.ShardSpec, count)
	for i := range specs {
		specs[i].EntrySpec = service
		specs[i].Name = shardName(i, count)
	}
	for _, row := range rows {
		e.replicaRow(row, service, defaults, specs)
	}
	shards := make([]*catalogue.Shard, count)
	for i, spec := range specs {
		shards[i] = catalogue.NewShard(spec)
	}
	return shards
}

// replicaRow reads one row of replicas and adds its searchers to shards.
func (e *evaluator) replicaRow(n *syntax.Node, service catalogue.EntrySpec, defaults searcherValues, shards []catalogue.ShardSpec) {
	m := syntax.ReadMapping(n, e.problems)
	defer m.Close()
	entry := e.unnamedEntry(m, service)
	v := e.readSearcherValues(m, defaults)
	e.checkSearcherValues(m, v)
	list := m.Require("addresses", "a list of searcher addresses")
	if list == nil {
		return
	}
	addresses, ok := e.expandAddresses(m.List("addresses"))
	if !ok || len(shards) == 0 {
		return
	}
	if len(addresses) == 0 || len(addresses)%len(shards) != 0 {
		e.problems.AddAt(list, fmt.Sprintf("a multiple of %d addresses, one for each shard in turn", len(shards)), fmt.Sprintf("%d addresses", len(addresses)))
		return
	}
	for i, a := range addresses {
		e.addresses.declare(a.text, a.node)
		shard := &shards[i%len(shards)]
		entry.Name = fmt.Sprintf("%s/%s/%s", service.Name, shard.Name, a.text)
		shard.Searchers = append(shard.Searchers, newSearcher(entry, a.text, v))
	}
}

// shardName returns i padded with zeros, so that the names sort in the order of the
// shards.
func shardName(i, count int) string {
	return fmt.Sprintf("%0*d", max(2, len(strconv.Itoa(count-1))), i)
}
