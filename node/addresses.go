package node

import "medlaryard.example/medlaryard/fleet"

// ready reports whether this daemon accepts callers: it has a configuration and
// is not shutting down.
func (d *Daemon) ready() bool { return !d.shutdown.announced() && d.engine.Table() != nil }

// addresses returns the addresses to which callers of the given region connect.
// It returns nil if no daemon can serve them.
func (d *Daemon) addresses(region string) []string {
	endpoints := d.callerEndpoints()
	if len(endpoints) == 0 {
		return nil
	}
	return selectAddresses(endpoints, region)
}

// callerEndpoints returns the daemons whose addresses may be given to callers.
// It prefers live daemons, falls back to those that are shutting down and still
// accept connections, and then to those that have stopped sending heartbeats. If
// this daemon is ready, it is included if it can serve callers or if no other
// daemon is available.
func (d *Daemon) callerEndpoints() []callerEndpoint {
	serving := d.serving.names()
	live := func(m fleet.Member) servingState {
		if serving[m.Name()] {
			return stateServing
		}
		return stateStandby
	}
	alive := d.fleet.AliveMembers()
	endpoints := d.endpointsOf(alive, false, live)
	own := callerEndpoint{address: d.settings.CallersAddress(), region: d.settings.Region(), state: stateSilent}
	canServe := d.canServe()
	switch {
	case canServe && d.serving.includesSelf():
		own.state = stateServing
	case canServe:
		own.state = stateStandby
	}
	if d.ready() && canServe {
		endpoints = append(endpoints, own)
	}
	if len(endpoints) > 0 {
		return endpoints
	}
	endpoints = d.endpointsOf(alive, true, live)
	if d.shutdown.announced() && !d.shutdown.closed.Load() && canServe {
		endpoints = append(endpoints, own)
	}
	if len(endpoints) > 0 {
		return endpoints
	}
	endpoints = d.endpointsOf(d.fleet.KnownMembers(), false, func(fleet.Member) servingState { return stateSilent })
	if d.ready() && len(endpoints) == 0 {
		endpoints = append(endpoints, own)
	}
	return endpoints
}

// endpointsOf returns the endpoints of the members that can serve callers. With
// leaving set, these are the ones that are shutting down, otherwise all others.
func (d *Daemon) endpointsOf(members []fleet.Member, leaving bool, stateOf func(fleet.Member) servingState) []callerEndpoint {
	var endpoints []callerEndpoint
	for _, m := range members {
		if m.Serving() && m.Leaving() == leaving {
			endpoints = append(endpoints, callerEndpoint{address: m.CallerAddress(), region: d.settings.RegionOf(m.Domain()), state: stateOf(m)})
		}
	}
	return endpoints
}

// minReachableFraction is the fraction of the used services that a daemon must
// reach before its address is given to callers. A service is reachable if one
// of its targets accepts connections.
const minReachableFraction = 0.6

// canServe reports whether this daemon reaches enough services to serve
// callers.
func (d *Daemon) canServe() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return false
	}
	reachable, all := d.countReachable()
	return float64(reachable) >= minReachableFraction*float64(all)
}

// countReachable returns the number of used services with a target that accepts
// connections, and the number of all used services. The caller holds d.mu.
func (d *Daemon) countReachable() (reachable, all int) {
	for name := range d.usedServices {
		all++
		if g := d.groups[name]; g != nil && g.Reachable() {
			reachable++
		}
	}
	return reachable, all
}
