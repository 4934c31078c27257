package searchers

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// FromCatalogue returns one Config for each searcher of a catalogue, at its
// address and with its slots, connections and cold limit. What a catalogue does
// not state is taken from base.
func FromCatalogue(e catalogue.Estate, base Config) []Config {
	var configs []Config
	for _, service := range e.Services() {
		for i, shard := range service.Shards() {
			for _, s := range shard.Searchers() {
				c := base
				c.Name = s.Name()
				c.Service = service.Name()
				c.Domain = s.Domain()
				c.Version = s.Version()
				c.Shard, c.Index, c.Shards = shard.Name(), i, len(service.Shards())
				c.Address = s.Address()
				c.Slots, c.Connections, c.ColdLimit = s.Slots(), s.Connections(), s.ColdLimit()
				c.ConnectCost = connectCost(s.Connections())
				c.Seed = base.Seed + uint64(len(configs))
				configs = append(configs, c)
			}
		}
	}
	return configs
}

// connectCost is the cost of a new connection today: searchers with few
// connections are those of the large indexes, which take about 6 ms, all others
// about 1 ms.
func connectCost(connections int) time.Duration {
	const few = 30
	if connections <= few {
		return 6 * time.Millisecond
	}
	return time.Millisecond
}
