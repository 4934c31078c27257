package searchers

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// FromCatalogue returns one Config for each searcher of a catalogue, with the
// address, slots, connections and cold limit that the catalogue states. Other
// fields come from base; seeds count up from base.Seed.
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
				c.ConnectCost = connectCostFor(s.Connections())
				c.Seed = base.Seed + uint64(len(configs))
				configs = append(configs, c)
			}
		}
	}
	return configs
}

// connectCostFor returns the time that a new connection takes. Searchers with at
// most 30 connections serve the large indexes, where it takes about 6 ms; at all
// others it takes about 1 ms.
func connectCostFor(connections int) time.Duration {
	const maxLargeIndexConnections = 30
	if connections <= maxLargeIndexConnections {
		return 6 * time.Millisecond
	}
	return time.Millisecond
}
