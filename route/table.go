package route

import (
	"cmp"
	"slices"
	"strings"

	"medlaryard.example/medlaryard/account"
)

// Table is one version of the configuration. It is immutable.
type Table struct {
	version    uint64
	limits     Limits
	hosts      map[string][]*Route
	services   map[string]*Service
	routeNames map[string]bool
	accounts   *account.Directory
}

// NewTable returns a configuration with the given version.
func NewTable(version uint64, routes []*Route, services []*Service, limits Limits, opts ...TableOption) *Table {
	t := &Table{
		version:    version,
		limits:     limits,
		hosts:      make(map[string][]*Route),
		services:   make(map[string]*Service, len(services)),
		routeNames: make(map[string]bool, len(routes)),
	}
	for _, r := range routes {
		t.routeNames[r.name] = true
		t.hosts[r.host] = append(t.hosts[r.host], r)
	}
	for _, rs := range t.hosts {
		// The longest prefix comes first, so that Match can return the first
		// match.
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	for _, s := range services {
		t.services[s.name] = s
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on the requests and connections of callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name.
func (t *Table) Services() map[string]*Service { return t.services }

// HasRoute reports whether there is a route of the given name.
func (t *Table) HasRoute(name string) bool { return t.routeNames[name] }

// Match returns the route of host whose prefix is the longest prefix of path,
// or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r
		}
	}
	return nil
}

// UsedServices returns the names of the services that at least one route uses.
func (t *Table) UsedServices() map[string]bool {
	used := make(map[string]bool)
	for _, rs := range t.hosts {
		for _, r := range rs {
			for _, s := range r.Services() {
				used[s] = true
			}
		}
	}
	return used
}
