package targets

// Sizing is this daemon's part of the limits that all daemons share.
type Sizing struct {
	connections int
	coldLimits  ColdLimits
	budget      BudgetLimits
	preconnect  bool
}

// NewSizing returns limits of the given number of connections to each target,
// of c for requests to cold targets and of b for extra sends. With preconnect
// set, the first connection to each target is opened before it is needed.
func NewSizing(connections int, c ColdLimits, b BudgetLimits, preconnect bool) Sizing {
	return Sizing{connections: max(connections, 1), coldLimits: c, budget: b, preconnect: preconnect}
}

// Resize applies new limits. Excess connections are closed once they are idle.
func (g *Group) Resize(s Sizing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxConns, g.coldLimits = s.connections, s.coldLimits
	g.budget.configure(s.budget)
	g.preconnect = s.preconnect
	for _, t := range g.targets {
		g.closeExcessConns(t)
		g.ensureConn(t)
	}
	g.closeSpareConns(g.clock.Now())
}
