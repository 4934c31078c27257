package node

import (
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/upgrade"
)

const (
	// maxEvidenceBytes bounds the memory of the evidence of all other daemons. That of 18
	// daemons on 1,000 moves of services with two routes takes 30 MB.
	maxEvidenceBytes = 32 << 20
	// unregisteredFraction is the part of it that daemons may take that are not
	// registered in the store.
	unregisteredFraction = 0.125
	// evidenceBytes is the memory of the evidence on a service with one route, beyond its
	// strings. Each further route takes less.
	evidenceBytes = 768
)

// daemonEvidence is the evidence of one other daemon. A message holds a part of
// it.
type daemonEvidence struct {
	incarnation uint64
	latest      map[string]*orderEvidence // By service.
}

// orderEvidence is the evidence of one other daemon on the latest order that it knows of a
// service.
type orderEvidence struct {
	order   upgrade.OrderID
	version string
	routes  map[string]*mirrorpb.MoveEvidence
}

// size returns the memory that the evidence on a service takes.
func (e *daemonEvidence) size(service string) int {
	n := 0
	if o := e.latest[service]; o != nil {
		for _, w := range o.routes {
			n += sizeOf(w)
		}
	}
	return n
}

func sizeOf(w *mirrorpb.MoveEvidence) int {
	return evidenceBytes + len(w.GetService()) + len(w.GetVersion()) + len(w.GetRoute())
}

func orderOf(w *mirrorpb.MoveEvidence) upgrade.OrderID {
	return upgrade.NewOrderID(w.GetOrderEra(), w.GetOrderRevision())
}

// peerEvidence holds the evidence of all other daemons. It is bounded by the known
// daemons and by maxEvidenceBytes.
type peerEvidence struct {
	known      func(peer string) bool     // Reports whether a daemon has been heard lately.
	registered func(peer string) bool     // Reports whether it is registered in the store.
	daemons    map[string]*daemonEvidence // By peer address.
	bytes      int
}

func newPeerEvidence(known, registered func(peer string) bool) *peerEvidence {
	return &peerEvidence{known: known, registered: registered, daemons: make(map[string]*daemonEvidence)}
}

// merge stores evidence that the daemon at a peer address sent. A new sender
// removes the evidence of the daemons that are not known any more. Evidence for which
// there is no room is ignored; its sender repeats it. That of a daemon which names no order
// is ignored too, since the version may have been ordered before.
func (p *peerEvidence) merge(peer string, incarnation uint64, moves []*mirrorpb.MoveEvidence) {
	e := p.daemons[peer]
	if e == nil {
		for other := range p.daemons {
			if !p.known(other) {
				p.remove(other)
			}
		}
	}
	if e == nil || e.incarnation != incarnation {
		p.remove(peer)
		e = &daemonEvidence{incarnation: incarnation, latest: make(map[string]*orderEvidence)}
		p.daemons[peer] = e
	}
	limit := maxEvidenceBytes
	if !p.registered(peer) {
		limit = int(unregisteredFraction * maxEvidenceBytes)
	}
	for _, w := range moves {
		if order := orderOf(w); (order == upgrade.OrderID{}) {
			meter.Count("node.evidence_without_order", 1)
		} else if !p.store(e, w, order, limit) {
			meter.Count("node.evidence_ignored", 1)
		}
	}
}

// store stores evidence of a daemon on one route. It reports false if there is no room.
func (p *peerEvidence) store(e *daemonEvidence, w *mirrorpb.MoveEvidence, order upgrade.OrderID, limit int) bool {
	o := e.latest[w.GetService()]
	if o != nil && order.Before(o.order) {
		return true // Datagrams may arrive in another order.
	}
	if o == nil || o.order != order {
		p.bytes -= e.size(w.GetService())
		delete(e.latest, w.GetService())
		o = &orderEvidence{order: order, version: w.GetVersion(), routes: make(map[string]*mirrorpb.MoveEvidence)}
	}
	old := o.routes[w.GetRoute()]
	if old != nil && old.GetElapsedMs() > w.GetElapsedMs() {
		return true
	}
	if old == nil {
		if p.bytes+sizeOf(w) > limit {
			return false
		}
		p.bytes += sizeOf(w)
	}
	o.routes[w.GetRoute()] = w
	e.latest[w.GetService()] = o
	return true
}

// remove removes the evidence of a daemon.
func (p *peerEvidence) remove(peer string) {
	if e := p.daemons[peer]; e != nil {
		for service := range e.latest {
			p.bytes -= e.size(service)
		}
		delete(p.daemons, peer)
	}
}

// addTo adds the evidence of the other daemons on an order and returns the longest
// time since a daemon learned of it.
func (p *peerEvidence) addTo(e upgrade.Evidence, service string, order upgrade.OrderID) time.Duration {
	var elapsed time.Duration
	for _, d := range p.daemons {
		o := d.latest[service]
		if o == nil || o.order != order {
			continue
		}
		for route, w := range o.routes {
			elapsed = max(elapsed, time.Duration(w.GetElapsedMs())*time.Millisecond)
			r := upgrade.NewRouteEvidence(upgrade.NewTally(int(w.GetOldRequests()), int(w.GetOldBad())),
				upgrade.NewTally(int(w.GetNewRequests()), int(w.GetNewBad())))
			if r != (upgrade.RouteEvidence{}) {
				e.Add(route, r)
			}
		}
	}
	return elapsed
}

// latestOrder returns the latest order to move a service to a version of which another
// daemon knows that was given at a position or before it, or the zero value.
func (p *peerEvidence) latestOrder(service, version string, until upgrade.OrderID) upgrade.OrderID {
	var latest upgrade.OrderID
	for _, d := range p.daemons {
		if o := d.latest[service]; o != nil && o.version == version && latest.Before(o.order) && !until.Before(o.order) {
			latest = o.order
		}
	}
	return latest
}

// forget removes the evidence on a service whose order is gone.
func (p *peerEvidence) forget(service string) {
	for _, d := range p.daemons {
		p.bytes -= d.size(service)
		delete(d.latest, service)
	}
}

func encodeEvidence(service, version, route string, order upgrade.OrderID, elapsed time.Duration, r upgrade.RouteEvidence) *mirrorpb.MoveEvidence {
	return &mirrorpb.MoveEvidence{
		Service: service, Version: version, Route: route, OrderEra: order.Era(), OrderRevision: order.Revision(),
		OldRequests: uint32(r.Old().Requests()), OldBad: uint32(r.Old().Bad()),
		NewRequests: uint32(r.New().Requests()), NewBad: uint32(r.New().Bad()),
		ElapsedMs: uint32(elapsed.Milliseconds()),
	}
}
