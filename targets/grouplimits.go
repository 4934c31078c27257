package targets

// GroupLimits holds this daemon's part of the limits of a group, which all
// daemons share.
type GroupLimits struct {
	connections int
	coldLimits  ColdLimits
	budget      BudgetLimits
	preconnect  bool
}

// NewGroupLimits returns limits of the given number of connections to each target,
// of c for requests to cold targets and of b for extra sends. With preconnect
// set, the first connection to each target is opened before it is needed.
func NewGroupLimits(connections int, c ColdLimits, b BudgetLimits, preconnect bool) GroupLimits {
	return GroupLimits{connections: max(connections, 1), coldLimits: c, budget: b, preconnect: preconnect}
}

// Resize applies new limits. Excess connections are closed once they are idle.
func (g *Group) Resize(l GroupLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxConns, g.coldLimits = l.connections, l.coldLimits
	g.budget.configure(l.budget)
	g.preconnect = l.preconnect
	for _, t := range g.targets {
		g.closeExcessConns(t)
		g.ensureConn(t)
	}
	g.closeSpareConns(g.clock.Now())
}
