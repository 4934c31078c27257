package entry

import (
	"sync"

	"medlaryard.example/medlaryard/catalogue"
)

// layout lists the replica groups of a service by shard, in catalogue order.
type layout struct {
	shards []shardGroups
}

type shardGroups struct {
	shard  string
	groups []string
}

// layouts caches the layout of each service of one catalogue generation. Listing
// the groups of 130 shards costs more than planning a query.
type layouts struct {
	mu         sync.RWMutex
	generation uint64
	services   map[*catalogue.Service]*layout
}

func (c *layouts) get(generation uint64, s *catalogue.Service) *layout {
	c.mu.RLock()
	if c.generation == generation {
		if l, ok := c.services[s]; ok {
			c.mu.RUnlock()
			return l
		}
	}
	c.mu.RUnlock()
	l := newLayout(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil || c.generation != generation {
		c.generation, c.services = generation, make(map[*catalogue.Service]*layout)
	}
	c.services[s] = l
	return l
}

func newLayout(s *catalogue.Service) *layout {
	l := &layout{}
	for _, g := range s.Groups() {
		if n := len(l.shards); n == 0 || l.shards[n-1].shard != g.Shard() {
			l.shards = append(l.shards, shardGroups{shard: g.Shard()})
		}
		last := &l.shards[len(l.shards)-1]
		last.groups = append(last.groups, g.ID())
	}
	return l
}
