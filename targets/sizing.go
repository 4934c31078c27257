package targets

// Sizing is a daemon's part of the limits that all daemons share.
type Sizing struct {
	connections int
	cold        ColdLimits
	budget      BudgetLimits
	warm        bool
}

// NewSizing allows that many connections to each target, the requests of c to
// cold ones and the extra sends of b. With warm set, connections are made before
// they are needed.
func NewSizing(connections int, c ColdLimits, b BudgetLimits, warm bool) Sizing {
	return Sizing{connections: max(connections, 1), cold: c, budget: b, warm: warm}
}

// Resize applies new limits. Connections above them are closed once idle.
func (g *Group) Resize(s Sizing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit, g.cold = s.connections, s.cold
	g.budget.configure(s.budget)
	g.warm = s.warm
	for _, t := range g.targets {
		g.trim(t)
		g.prepare(t)
	}
	g.retire(g.clock.Now())
}
