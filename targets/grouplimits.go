package targets

// GroupLimits holds the limits of a group: this daemon's share of the
// connections to each target, and the limits on requests to cold targets and on
// extra sends, which hold for all daemons together.
type GroupLimits struct {
	connections int
	coldLimits  ColdLimits
	budget      BudgetLimits
	preconnect  bool
}

// NewGroupLimits returns limits with the given number of connections to each
// target. Requests to cold targets are limited by c, extra sends by b. With
// preconnect set, the first connection to each target is opened before it is
// needed.
func NewGroupLimits(connections int, c ColdLimits, b BudgetLimits, preconnect bool) GroupLimits {
	return GroupLimits{connections: max(connections, 1), coldLimits: c, budget: b, preconnect: preconnect}
}

// Resize applies new limits and closes spare connections that have been idle
// for long. Connections above the limit are closed once they are idle.
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
