package move

import (
	"slices"

	"medlaryard.example/medlaryard/catalogue"
)

const (
	// maxRoutes is the maximum number of routes that are compared separately.
	// Further routes share one entry, so that callers cannot grow the table with
	// invented route names.
	maxRoutes = 16
	// otherRoutes is the entry of all routes that are not compared separately.
	otherRoutes = "(other)"
	// allRoutes is the entry that sums up every route.
	allRoutes = "(all)"
)

// routeSamples holds, by route, the samples of the old and the new version of one
// move.
type routeSamples struct {
	routes map[string]*versionSamples
}

type versionSamples struct {
	oldVersion *Sample
	newVersion *Sample
}

func newRouteSamples() *routeSamples { return &routeSamples{routes: make(map[string]*versionSamples)} }

// add adds a sample to the entry of its route and to that of all routes.
func (r *routeSamples) add(m *catalogue.Move, version, route string, s *Sample) {
	for _, name := range []string{r.routeGroup(m, route), allRoutes} {
		p, ok := r.routes[name]
		if !ok {
			p = &versionSamples{oldVersion: NewSample(), newVersion: NewSample()}
			r.routes[name] = p
		}
		switch version {
		case m.From():
			p.oldVersion.Add(s)
		case m.To():
			p.newVersion.Add(s)
		}
	}
}

// routeGroup returns the entry of a route: the route itself, or otherRoutes if the
// move guards other routes only or the table is full.
func (r *routeSamples) routeGroup(m *catalogue.Move, route string) string {
	guarded := m.GuardedRoutes()
	if len(guarded) > 0 {
		if slices.Contains(guarded, route) {
			return route
		}
		return otherRoutes
	}
	if _, ok := r.routes[route]; ok || len(r.routes) < maxRoutes {
		return route
	}
	return otherRoutes
}

// fault returns the first fault in the order of route names, or an empty string if
// no route has one.
func (r *routeSamples) fault(g Guard) string {
	names := make([]string, 0, len(r.routes))
	for name := range r.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p := r.routes[name]
		if f := g.Fault(name, p.oldVersion, p.newVersion); f != "" {
			return f
		}
	}
	return ""
}

// newRequests returns the number of requests that the new version answered.
func (r *routeSamples) newRequests() uint64 {
	if p, ok := r.routes[allRoutes]; ok {
		return p.newVersion.Requests()
	}
	return 0
}
