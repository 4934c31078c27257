package node

import (
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/upgrade"
)

// evidenceKey names a route of a version to which a service moves.
type evidenceKey struct{ version, route string }

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
	latest      map[string]map[evidenceKey]*mirrorpb.MoveEvidence // By service.
}

// size returns the memory that the evidence on a service takes.
func (e *daemonEvidence) size(service string) int {
	n := 0
	for _, w := range e.latest[service] {
		n += sizeOf(w)
	}
	return n
}

func sizeOf(w *mirrorpb.MoveEvidence) int {
	return evidenceBytes + len(w.GetService()) + len(w.GetVersion()) + len(w.GetRoute())
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
// there is no room is ignored; its sender repeats it.
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
		e = &daemonEvidence{incarnation: incarnation, latest: make(map[string]map[evidenceKey]*mirrorpb.MoveEvidence)}
		p.daemons[peer] = e
	}
	limit := maxEvidenceBytes
	if !p.registered(peer) {
		limit = int(unregisteredFraction * maxEvidenceBytes)
	}
	for _, w := range moves {
		key := evidenceKey{w.GetVersion(), w.GetRoute()}
		old := e.latest[w.GetService()][key]
		switch {
		case old != nil && old.GetElapsedMs() > w.GetElapsedMs():
			continue // Datagrams may arrive in another order.
		case old == nil && p.bytes+sizeOf(w) > limit:
			meter.Count("node.evidence_ignored", 1)
			continue
		case old == nil:
			p.bytes += sizeOf(w)
		}
		if e.latest[w.GetService()] == nil {
			e.latest[w.GetService()] = make(map[evidenceKey]*mirrorpb.MoveEvidence)
		}
		e.latest[w.GetService()][key] = w
	}
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

// addTo adds the evidence of the other daemons on a move and returns the longest
// time since a daemon learned of its order.
func (p *peerEvidence) addTo(e upgrade.Evidence, service, version string) time.Duration {
	var elapsed time.Duration
	for _, d := range p.daemons {
		for key, w := range d.latest[service] {
			if key.version != version {
				continue
			}
			elapsed = max(elapsed, time.Duration(w.GetElapsedMs())*time.Millisecond)
			r := upgrade.NewRouteEvidence(upgrade.NewTally(int(w.GetOldRequests()), int(w.GetOldBad())),
				upgrade.NewTally(int(w.GetNewRequests()), int(w.GetNewBad())))
			if r != (upgrade.RouteEvidence{}) {
				e.Add(key.route, r)
			}
		}
	}
	return elapsed
}

// forget removes the evidence on a service whose order is gone.
func (p *peerEvidence) forget(service string) {
	for _, d := range p.daemons {
		p.bytes -= d.size(service)
		delete(d.latest, service)
	}
}

func encodeEvidence(service, version, route string, elapsed time.Duration, r upgrade.RouteEvidence) *mirrorpb.MoveEvidence {
	return &mirrorpb.MoveEvidence{
		Service: service, Version: version, Route: route,
		OldRequests: uint32(r.Old().Requests()), OldBad: uint32(r.Old().Bad()),
		NewRequests: uint32(r.New().Requests()), NewBad: uint32(r.New().Bad()),
		ElapsedMs: uint32(elapsed.Milliseconds()),
	}
}
