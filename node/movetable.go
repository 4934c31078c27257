package node

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/upgrade"
)

// moveGroup is what a move needs of the targets of a service.
type moveGroup struct {
	evidence  func() upgrade.Evidence
	capacity  func(version string) upgrade.Capacity
	setShares func(version string, shares upgrade.Shares)
}

// moveTable holds this daemon's view of all version moves. It is not safe for concurrent
// use.
type moveTable struct {
	log   zerolog.Logger
	group func(service string) (moveGroup, bool)
	moves map[string]*moveState // By service.
	peers *peerEvidence
}

// moveState is this daemon's view of one version move.
type moveState struct {
	version   string
	orderedAt time.Duration // Boot time at which this daemon received the order.
	state     upgrade.State
	completed bool // The store has confirmed that the move is complete.
	history   *upgrade.History
}

func newMoveTable(group func(service string) (moveGroup, bool), peers *peerEvidence, log zerolog.Logger) *moveTable {
	return &moveTable{log: log, group: group, moves: make(map[string]*moveState), peers: peers}
}

// evaluate applies all orders, as of a boot time. It returns the states of the moves that
// differ from those in the store.
func (t *moveTable) evaluate(orders []platform.Order, now time.Duration) map[platform.Order]upgrade.State {
	toPublish := make(map[platform.Order]upgrade.State)
	seen := make(map[string]bool, len(orders))
	for _, o := range orders {
		seen[o.Service()] = true
		if state := t.evaluateOrder(o, now); state != o.State() {
			toPublish[o] = state
		}
	}
	for service := range t.moves {
		if !seen[service] {
			delete(t.moves, service)
			t.peers.forget(service)
			if g, ok := t.group(service); ok {
				g.setShares("", upgrade.EqualShare(0))
			}
		}
	}
	return toPublish
}

// evaluateOrder applies one order to its group and returns the state of the move.
func (t *moveTable) evaluateOrder(o platform.Order, now time.Duration) upgrade.State {
	m := t.moves[o.Service()]
	if m == nil || m.version != o.Version() {
		m = &moveState{version: o.Version(), orderedAt: now, state: upgrade.Running, history: upgrade.NewHistory(o.Duration())}
		t.moves[o.Service()] = m
		t.log.Info().Str("service", o.Service()).Str("version", o.Version()).Dur("given", o.Duration()).Msg("move ordered")
	}
	if o.State() == upgrade.Completed || o.State() == upgrade.RolledBack {
		m.state = o.State()
		m.completed = m.state == upgrade.Completed
	}
	g, ok := t.group(o.Service())
	if !ok {
		return m.state
	}
	evidence, elapsed := g.evidence(), now-m.orderedAt
	if evidence == nil {
		evidence = make(upgrade.Evidence)
	}
	elapsed = max(elapsed, t.peers.addTo(evidence, o.Service(), o.Version()))
	m.history.Record(elapsed, evidence)
	m.history.RecordCapacity(g.capacity(o.Version()))
	next := upgrade.NextState(m.state, elapsed, m.history)
	if next == upgrade.Completed && !m.completed {
		// The old targets stop once the state is published; until then the new
		// version keeps its share. A store that was restored from an older copy may
		// have lost a published state.
		g.setShares(o.Version(), upgrade.SharesFor(upgrade.Running, elapsed, m.history))
		return next
	}
	if next != m.state {
		total := evidence.Total()
		t.log.Info().Str("service", o.Service()).Str("version", o.Version()).Str("state", string(next)).
			Int("old_requests", total.Old().Requests()).Int("old_bad", total.Old().Bad()).
			Int("new_requests", total.New().Requests()).Int("new_bad", total.New().Bad()).
			Strs("worse_routes", m.history.WorseRoutes()).Bool("replaceable", m.history.Replaceable()).
			Dur("elapsed", elapsed).Msg("move changes its state")
		m.state = next
	}
	g.setShares(o.Version(), upgrade.SharesFor(m.state, elapsed, m.history))
	return m.state
}

// messages returns this daemon's evidence on all moves, for the other daemons.
func (t *moveTable) messages(now time.Duration) []*mirrorpb.MoveEvidence {
	var all []*mirrorpb.MoveEvidence
	for _, service := range slices.Sorted(maps.Keys(t.moves)) {
		g, ok := t.group(service)
		if !ok {
			continue
		}
		m := t.moves[service]
		elapsed, e := now-m.orderedAt, g.evidence()
		if len(e) == 0 {
			all = append(all, encodeEvidence(service, m.version, "", elapsed, upgrade.RouteEvidence{}))
		}
		for _, route := range slices.Sorted(maps.Keys(e)) {
			all = append(all, encodeEvidence(service, m.version, route, elapsed, e[route]))
		}
	}
	return all
}
