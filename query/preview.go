package query

import (
	"time"

	"medlaryard.example/medlaryard/cost"
	"medlaryard.example/medlaryard/route"
	"medlaryard.example/medlaryard/targets"
)

// Preview states where a request would go now, without sending it.
type Preview struct {
	route      *route.Route
	prediction *cost.Prediction
	median     time.Duration
	services   []string
	groups     map[string]targets.Preview
}

// Route returns the route of the request.
func (p Preview) Route() *route.Route { return p.route }

// Prediction returns the expected cost of the request, or nil if costs are not
// learned.
func (p Preview) Prediction() *cost.Prediction { return p.prediction }

// Median returns the median latency of the route at one target.
func (p Preview) Median() time.Duration { return p.median }

// Services returns the services that the request may be sent to, in the order of the
// route: all of a sharded route, one of them otherwise.
func (p Preview) Services() []string { return p.services }

// Group returns where the request would be sent in a service. It is empty if the
// service has no targets.
func (p Preview) Group(service string) targets.Preview { return p.groups[service] }

// Preview returns where a request to a URI of a host with a body of the given size
// would go now. Its caller waits for timeout. It returns false if no route matches.
func (e *Engine) Preview(host, path, uri string, bodyBytes int, timeout time.Duration) (Preview, bool) {
	table := e.Table()
	if table == nil {
		return Preview{}, false
	}
	r := table.Match(host, path)
	if r == nil {
		return Preview{}, false
	}
	stats := e.routeStats(r)
	p := Preview{route: r, median: stats.latency.Median(), services: r.Services(), groups: make(map[string]targets.Preview)}
	var kind *cost.Kind
	if e.byCost {
		kind = stats.costs.Find(cost.ShapeOf(uri, bodyBytes))
		p.prediction = kind.Predict()
	}
	left := requestTimeout(r, timeout)
	for _, name := range p.services {
		if g := e.group(name); g != nil {
			p.groups[name] = g.Preview(stats.latency, kind, func(t targets.Entry) bool { return e.allow(r, t) }, left)
		}
	}
	return p, true
}
