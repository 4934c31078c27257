package targets

// Sizing is a daemon's part of the limits that all daemons share.
type Sizing struct {
	connections int
	coldRate    float64
	budget      BudgetLimits
	warm        bool
}

// NewSizing allows that many connections to each target and the extra sends of
// b. A cold target bears coldRate requests a second from all daemons, 0 meaning
// no limit. With warm set, connections are made before they are needed.
func NewSizing(connections int, coldRate float64, b BudgetLimits, warm bool) Sizing {
	return Sizing{connections: max(connections, 1), coldRate: coldRate, budget: b, warm: warm}
}

// Resize applies new limits. Connections above them are closed once idle.
func (g *Group) Resize(s Sizing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit, g.coldRate, g.daemons = s.connections, s.coldRate, s.budget.daemons
	g.budget.configure(s.budget)
	g.warm = s.warm
	for _, t := range g.targets {
		g.trim(t)
		g.prepare(t)
	}
	g.retire(g.clock.Now())
}
