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
	evidence func(order upgrade.OrderID) upgrade.Evidence
	capacity func(version string) upgrade.Capacity
	versions func() map[string]time.Time // Of the listed targets, with the time of the first one.
	divide   func(upgrade.Division)
}

// moveTable holds this daemon's view of all version moves. It is not safe for concurrent
// use.
type moveTable struct {
	log      zerolog.Logger
	group    func(service string) (moveGroup, bool)
	moves    map[string]*moveState        // By service.
	withheld map[string]*withheldVersions // By service.
	peers    *peerEvidence
}

// moveState is this daemon's view of one order.
type moveState struct {
	id        upgrade.OrderID
	order     platform.Order // As last read.
	orderedAt time.Duration  // Boot time at which a daemon first received the order.
	changedAt time.Duration  // Boot time at which another position of the order was last read.
	state     upgrade.State
	begun     bool // The versions in force are known.
	completed bool // The store has confirmed that the move is complete.
	history   *upgrade.History
}

// publication is a state of a move that differs from the one in the store.
type publication struct {
	order    platform.Order
	id       upgrade.OrderID
	state    upgrade.State
	withheld map[string]upgrade.Withholding
	inForce  []string
}

// settleTime is how long after a change of an order its final state is published. If this
// daemon has missed that the order was given again, the others tell it in the meantime.
const settleTime = 2 * time.Second

func newMoveTable(group func(service string) (moveGroup, bool), peers *peerEvidence, log zerolog.Logger) *moveTable {
	return &moveTable{log: log, group: group, moves: make(map[string]*moveState), withheld: make(map[string]*withheldVersions), peers: peers}
}

// evaluate applies all orders, as of a boot time. It returns the states of the moves that
// differ from those in the store.
func (t *moveTable) evaluate(orders []platform.Order, now time.Duration) []publication {
	var toPublish []publication
	seen := make(map[string]bool, len(orders))
	for _, o := range orders {
		seen[o.Service()] = true
		state := t.evaluateOrder(o, now)
		m := t.moves[o.Service()]
		if state != upgrade.Running && now-m.changedAt < settleTime {
			continue
		}
		if p := (publication{o, m.id, state, t.withheldOf(o.Service()).reasons(), t.withheldOf(o.Service()).versionsInForce()}); !p.inStore() {
			toPublish = append(toPublish, p)
		}
	}
	for service := range t.moves {
		if !seen[service] {
			t.end(service, now)
			t.peers.forget(service)
		}
	}
	for service, w := range t.withheld {
		if !seen[service] {
			t.applyWithheld(service, w, now)
		}
	}
	return toPublish
}

// inStore reports whether the store has the state of the order.
func (p publication) inStore() bool {
	return p.order.State() == p.state && p.order.PublishedVersion() == p.order.Version() &&
		(p.order.PublishedOrder() == p.id || p.order.PublishedOrder() == upgrade.OrderID{} && p.state != upgrade.Running)
}

func (t *moveTable) withheldOf(service string) *withheldVersions {
	w := t.withheld[service]
	if w == nil {
		w = newWithheldVersions()
		t.withheld[service] = w
	}
	return w
}

// applyWithheld divides the requests of a service without an order.
func (t *moveTable) applyWithheld(service string, w *withheldVersions, now time.Duration) {
	if g, ok := t.group(service); ok {
		w.expire(g.versions(), now)
		g.divide(upgrade.Division{}.Without(w.reasons()))
	} else {
		w.expire(nil, now)
	}
	if len(w.versions)+len(w.completed)+len(w.inForce) == 0 {
		delete(t.withheld, service)
	}
}

// end ends the order of a service. If it has not replaced the other versions, its version
// gets no more requests.
func (t *moveTable) end(service string, now time.Duration) {
	m := t.moves[service]
	delete(t.moves, service)
	if m == nil || m.completed {
		return
	}
	w := t.withheldOf(service)
	switch {
	case m.state == upgrade.RolledBack:
		w.add(m.order.Version(), m.id, upgrade.Bad, now)
	case len(w.inForce) > 0 && !w.guessed: // Otherwise it may have been in force itself.
		w.add(m.order.Version(), m.id, upgrade.Undecided, now)
	}
}

// identify returns the ID of the order that was read from the store. M is the order known
// of the service so far, or nil. Writing a state changes the position of an object too, so
// the ID is the one in the published state where that tells of this order. An object with
// another position but the same words and the same state has been another one in between.
func (t *moveTable) identify(o platform.Order, m *moveState) upgrade.OrderID {
	id, published := o.Position(), upgrade.OrderID{}
	if o.PublishedVersion() == o.Version() && !id.Before(o.PublishedOrder()) {
		published = o.PublishedOrder()
	}
	// A daemon of an earlier version names no order.
	unnamed := o.PublishedOrder() == upgrade.OrderID{} && o.PublishedVersion() == o.Version() && o.State() != ""
	switch {
	case m == nil:
		if (published != upgrade.OrderID{}) {
			id = published
		}
	case m.order.Position() == o.Position():
		id = m.id
	case m.id.Before(published):
		id = published
	case !m.order.SameSpec(o):
	case m.order.Position().Era() != o.Position().Era():
		id = m.id // A restored store may have lost the state.
	case !m.order.SameStatus(o) && (published == m.id || unnamed):
		id = m.id
	}
	// Another daemon may have seen what this one has missed.
	if other := t.peers.latestOrder(o.Service(), o.Version(), o.Position()); id.Before(other) {
		id = other
	}
	return id
}

// receive returns the state of an order after it was read from the store.
func (t *moveTable) receive(o platform.Order, now time.Duration) *moveState {
	m := t.moves[o.Service()]
	if m != nil && o.Position().Before(m.order.Position()) {
		return m // An earlier reading.
	}
	id := t.identify(o, m)
	first := m == nil
	// The state of another order, also of one for the same version, is not that of this one.
	trusted := o.PublishedVersion() == o.Version() && (o.PublishedOrder() == id || o.PublishedOrder() == upgrade.OrderID{} && (first || m.id == id))
	if first || m.id != id {
		t.learnOutcome(o, m, now)
		t.end(o.Service(), now)
		if first && !trusted {
			t.learnEnded(o, now)
		}
		m = &moveState{id: id, orderedAt: now, state: upgrade.Running, history: upgrade.NewHistory(o.Duration())}
		t.moves[o.Service()] = m
		t.log.Info().Str("service", o.Service()).Str("version", o.Version()).Dur("given", o.Duration()).
			Uint64("order", id.Revision()).Msg("move ordered")
	}
	if m.order.Position() != o.Position() {
		m.changedAt = now
	}
	m.order = o
	w := t.withheldOf(o.Service())
	delete(w.versions, o.Version())
	if trusted {
		if first || w.guessed {
			t.learnWithheld(w, o, now)
		}
		if o.State() == upgrade.Completed || o.State() == upgrade.RolledBack {
			m.state = o.State()
			m.completed = m.state == upgrade.Completed
		}
	}
	if m.completed {
		w.complete(o.Version(), id, now)
	}
	return m
}

// learnOutcome learns how the order known so far has ended from the state that a later order
// has in the store: writing an order leaves the state of the one before.
func (t *moveTable) learnOutcome(o platform.Order, m *moveState, now time.Duration) {
	if m == nil || o.PublishedOrder() != m.id || o.PublishedVersion() != m.order.Version() {
		return
	}
	switch o.State() {
	case upgrade.Completed:
		t.confirm(o.Service(), m.order.Version(), m.id, now)
	case upgrade.RolledBack:
		m.state = upgrade.RolledBack
	case upgrade.Running:
	}
}

// learnEnded withholds the version of an earlier order of which the store still has the
// state.
func (t *moveTable) learnEnded(o platform.Order, now time.Duration) {
	why := upgrade.Undecided
	switch o.State() {
	case upgrade.Running:
	case upgrade.RolledBack:
		why = upgrade.Bad
	default:
		return
	}
	w := t.withheldOf(o.Service())
	t.learnWithheld(w, o, now)
	w.add(o.PublishedVersion(), o.PublishedOrder(), why, now)
}

// learnWithheld learns from a published state which versions are withheld.
func (t *moveTable) learnWithheld(w *withheldVersions, o platform.Order, now time.Duration) {
	if versions := o.InForce(); len(versions) > 0 && o.State() != upgrade.Completed { // Otherwise they have stopped.
		w.inForce, w.guessed = make(map[string]time.Duration, len(versions)), false
		for _, version := range versions {
			w.inForce[version] = now
		}
	}
	for version, why := range o.Withheld() {
		w.add(version, upgrade.OrderID{}, why, now)
	}
}

// evaluateOrder applies one order to its group and returns the state of the move.
func (t *moveTable) evaluateOrder(o platform.Order, now time.Duration) upgrade.State {
	m := t.receive(o, now)
	g, ok := t.group(o.Service())
	if !ok {
		return m.state
	}
	evidence, elapsed := g.evidence(m.id), now-m.orderedAt
	if evidence == nil {
		evidence = make(upgrade.Evidence)
	}
	elapsed = max(elapsed, t.peers.addTo(evidence, o.Service(), m.id))
	m.orderedAt = now - elapsed // Still known here after the daemon that told it has restarted.
	m.history.Record(elapsed, evidence)
	w := t.withheldOf(o.Service())
	listed := g.versions()
	if !m.begun {
		m.begun = true
		w.begin(o.Version(), listed, now)
	}
	w.expire(listed, now)
	m.history.RecordCapacity(g.capacity(o.Version()))
	next := upgrade.NextState(m.state, elapsed, m.history)
	shares := upgrade.SharesFor(next, elapsed, m.history)
	if next == upgrade.Completed && !m.completed {
		// The old targets stop once the state is published; until then the new
		// version keeps its share. A store that was restored from an older copy may
		// have lost a published state.
		shares = upgrade.SharesFor(upgrade.Running, elapsed, m.history)
	} else if next != m.state {
		total := evidence.Total()
		t.log.Info().Str("service", o.Service()).Str("version", o.Version()).Str("state", string(next)).
			Uint64("order", m.id.Revision()).
			Int("old_requests", total.Old().Requests()).Int("old_bad", total.Old().Bad()).
			Int("new_requests", total.New().Requests()).Int("new_bad", total.New().Bad()).
			Strs("worse_routes", m.history.WorseRoutes()).Bool("replaceable", m.history.Replaceable()).
			Dur("elapsed", elapsed).Msg("move changes its state")
		m.state = next
	}
	g.divide(upgrade.NewDivision(m.id, o.Version(), shares).Without(w.reasons()))
	return next
}

// messages returns this daemon's evidence on all moves and the withheld versions, for the
// other daemons.
func (t *moveTable) messages(now time.Duration) []*mirrorpb.MoveEvidence {
	var all []*mirrorpb.MoveEvidence
	for _, service := range slices.Sorted(maps.Keys(t.moves)) {
		g, ok := t.group(service)
		if !ok {
			continue
		}
		m := t.moves[service]
		elapsed, e := now-m.orderedAt, g.evidence(m.id)
		if len(e) == 0 {
			all = append(all, encodeEvidence(service, m.order.Version(), "", m.id, elapsed, upgrade.RouteEvidence{}))
		}
		for _, route := range slices.Sorted(maps.Keys(e)) {
			all = append(all, encodeEvidence(service, m.order.Version(), route, m.id, elapsed, e[route]))
		}
	}
	for _, service := range slices.Sorted(maps.Keys(t.withheld)) {
		all = append(all, t.withheld[service].messages(service, now)...)
	}
	return all
}

// merge stores what another daemon has sent.
func (t *moveTable) merge(peer string, incarnation uint64, moves []*mirrorpb.MoveEvidence, now time.Duration) {
	evidence := moves[:0:0]
	for _, w := range moves {
		if w.GetEnd() == mirrorpb.OrderEnd_ORDER_END_UNSPECIFIED {
			evidence = append(evidence, w)
		} else {
			t.mergeEnd(w, now)
		}
	}
	t.peers.merge(peer, incarnation, evidence)
}

// mergeEnd learns from another daemon how an order has ended, if its version has targets and
// has not been ordered again.
func (t *moveTable) mergeEnd(w *mirrorpb.MoveEvidence, now time.Duration) {
	service, version, order := w.GetService(), w.GetVersion(), orderOf(w)
	m := t.moves[service]
	if m != nil && m.order.Version() == version && m.id != order {
		return
	}
	g, ok := t.group(service)
	if !ok || g.versions()[version].IsZero() {
		return
	}
	switch w.GetEnd() {
	case mirrorpb.OrderEnd_ORDER_END_COMPLETED:
		t.confirm(service, version, order, now)
	case mirrorpb.OrderEnd_ORDER_END_ROLLED_BACK:
		if m == nil || m.id != order {
			t.withheldOf(service).add(version, order, upgrade.Bad, now)
		}
	default:
		if m == nil || m.id != order {
			t.withheldOf(service).add(version, order, upgrade.Undecided, now)
		}
	}
}

// published records the position at which the store has written a state. If the order is read
// at another one next, it has been changed since.
func (t *moveTable) published(p publication, at upgrade.OrderID) {
	if m := t.moves[p.order.Service()]; m != nil && m.id == p.id && m.order.Position() == p.order.Position() && at != (upgrade.OrderID{}) {
		m.order = p.order.Published(p.id, p.state, p.withheld, p.inForce, at)
	}
}

// confirm records that the store has confirmed the completion of an order.
func (t *moveTable) confirm(service, version string, order upgrade.OrderID, now time.Duration) {
	if m := t.moves[service]; m != nil && m.id == order {
		m.state, m.completed = upgrade.Completed, true
	}
	t.withheldOf(service).complete(version, order, now)
}
