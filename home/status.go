package home

import "time"

// SearcherStatus is the state of one searcher as seen by its home.
type SearcherStatus struct {
	name, state, version  string
	inflight, limit, open int
	latency               time.Duration
}

// Name returns the name of the searcher.
func (s SearcherStatus) Name() string { return s.name }

// State is one of out, draining, down, unknown, cold, new and warm. out: its
// failure domain is out of service; unknown: no health reply yet; new: neither
// warm nor known to be cold.
func (s SearcherStatus) State() string { return s.state }

// Version is the version that the searcher reports; empty before its first
// health reply.
func (s SearcherStatus) Version() string { return s.version }

// InFlight is the number of requests in flight to the searcher.
func (s SearcherStatus) InFlight() int { return s.inflight }

// Limit is the current limit of requests in flight.
func (s SearcherStatus) Limit() int { return s.limit }

// OpenConnections is the number of open connections to the searcher.
func (s SearcherStatus) OpenConnections() int { return s.open }

// Latency is the expected service time.
func (s SearcherStatus) Latency() time.Duration { return s.latency }

// GroupStatus is the state of one home.
type GroupStatus struct {
	id, share        string
	queued, inflight int
	searchers        []SearcherStatus
}

// ID is the id of the group.
func (s GroupStatus) ID() string { return s.id }

// Share is the name of the home's share, see lease.Share.
func (s GroupStatus) Share() string { return s.share }

// Queued is the number of waiting requests.
func (s GroupStatus) Queued() int { return s.queued }

// InFlight is the number of requests in flight to searchers.
func (s GroupStatus) InFlight() int { return s.inflight }

// Searchers returns the searchers of the group in catalogue order.
func (s GroupStatus) Searchers() []SearcherStatus { return s.searchers }

// Status returns the state of all homes, ordered by group id.
func (s *Set) Status() []GroupStatus {
	var out []GroupStatus
	for _, g := range s.groupList() {
		out = append(out, g.status())
	}
	return out
}

func (g *group) status() GroupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.set.clock.Boot()
	st := GroupStatus{id: g.id, share: g.share.String(), queued: g.queue.len(), inflight: g.inflight}
	for _, m := range g.members {
		st.searchers = append(st.searchers, SearcherStatus{
			name: m.spec.Name(), state: m.state(), version: m.reportedVersion,
			inflight: m.inflight, limit: m.limit(g.share), open: m.target.OpenConnections(),
			latency: time.Duration(m.latency.current(now, g.medianLatency)),
		})
	}
	return st
}

func (m *member) state() string {
	switch {
	case !m.inService:
		return "out"
	case m.draining:
		return "draining"
	case m.down:
		return "down"
	case m.reportedState == "":
		return "unknown"
	case m.warmup.warm:
		return "warm"
	case m.warmup.knownCold:
		return "cold"
	}
	return "new"
}
