package move

import (
	"slices"

	"medlaryard.example/medlaryard/catalogue"
)

const (
	// maxRoutes bounds the routes that are judged separately; further ones are
	// pooled, so that callers cannot grow the table with made-up routes.
	maxRoutes = 16
	// otherRoutes pools the routes that are not judged separately.
	otherRoutes = "(other)"
	// allRoutes pools every route.
	allRoutes = "(all)"
)

// tally holds the samples of the old and the new version of one move by route.
type tally struct {
	routes map[string]*pair
}

type pair struct {
	old   *Sample
	fresh *Sample
}

func newTally() *tally { return &tally{routes: make(map[string]*pair)} }

// add counts a sample for its route and for all routes together.
func (t *tally) add(m *catalogue.Move, version, route string, s *Sample) {
	for _, name := range []string{t.name(m, route), allRoutes} {
		p, ok := t.routes[name]
		if !ok {
			p = &pair{old: NewSample(), fresh: NewSample()}
			t.routes[name] = p
		}
		switch version {
		case m.From():
			p.old.Add(s)
		case m.To():
			p.fresh.Add(s)
		}
	}
}

func (t *tally) name(m *catalogue.Move, route string) string {
	guarded := m.GuardedRoutes()
	if len(guarded) > 0 {
		if slices.Contains(guarded, route) {
			return route
		}
		return otherRoutes
	}
	if _, ok := t.routes[route]; ok || len(t.routes) < maxRoutes {
		return route
	}
	return otherRoutes
}

// fault returns the first fault that any route proves, or an empty string.
func (t *tally) fault(g Guard) string {
	names := make([]string, 0, len(t.routes))
	for name := range t.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p := t.routes[name]
		if f := g.Judge(name, p.old, p.fresh); f != "" {
			return f
		}
	}
	return ""
}

// fresh returns the number of requests that the new version answered.
func (t *tally) fresh() uint64 {
	if p, ok := t.routes[allRoutes]; ok {
		return p.fresh.Requests()
	}
	return 0
}
