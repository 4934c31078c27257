package upgrade

import "maps"

const (
	// maxRoutes bounds the routes whose evidence is kept apart. Those beyond it are
	// counted together.
	maxRoutes = 32
	// otherRoutes stands for the routes beyond maxRoutes.
	otherRoutes = "*"
)

// Collector collects the evidence of one daemon on a move. It is not safe for
// concurrent use.
type Collector struct {
	evidence Evidence
}

// NewCollector returns a collector without evidence.
func NewCollector() *Collector { return &Collector{evidence: make(Evidence)} }

// Route returns the name under which the evidence on a route is kept.
func (c *Collector) Route(name string) string {
	if _, ok := c.evidence[name]; !ok && len(c.evidence) >= maxRoutes {
		return otherRoutes
	}
	return name
}

// Record counts an answer of the new or the old version.
func (c *Collector) Record(route string, isNew, bad bool) {
	route = c.Route(route)
	r := c.evidence[route]
	if isNew {
		r.newTally.Count(bad)
	} else {
		r.oldTally.Count(bad)
	}
	c.evidence[route] = r
}

// Evidence returns a copy of the evidence.
func (c *Collector) Evidence() Evidence { return maps.Clone(c.evidence) }
