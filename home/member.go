package home

import (
	"cmp"
	"slices"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/searcher"
	"medlaryard.example/medlaryard/shard"
)

// member is one searcher of a group. The group's lock guards it.
type member struct {
	spec       *catalogue.Searcher
	target     *searcher.Target
	conns      int // Connections that the share permits.
	inflight   int
	virtual    int // Queued requests that the present dispatch round expects here.
	estimate   estimate
	usual      usual
	errors     errorRate
	warmth     warmth
	labels     []shard.Label
	claimed    searcher.State // Empty before the first health answer.
	boot       string
	version    string // As the searcher states it; empty before the first health answer.
	inService  bool
	draining   bool
	drainUntil time.Duration // Until then a claim to be ready does not end the drain.
	down       bool
	removed    bool
	failures   int // Failed health requests in a row.
	lastReply  time.Duration
	lastSend   time.Duration
	poll       clock.Timer
	polling    bool
}

// usable reports whether the searcher may receive new work at all.
func (m *member) usable() bool {
	return !m.removed && m.inService && !m.draining && !m.down && m.conns > 0
}

// holds reports whether the searcher serves the snapshot; 0 is any.
func (m *member) holds(snapshot uint64) bool {
	if snapshot == 0 {
		return len(m.labels) > 0
	}
	return m.label(snapshot) != nil
}

func (m *member) label(snapshot uint64) *shard.Label {
	for i := range m.labels {
		if m.labels[i].Snapshot() == snapshot {
			return &m.labels[i]
		}
	}
	return nil
}

// learn replaces the labels, newest first.
func (m *member) learn(labels []shard.Label) {
	m.labels = slices.Clone(labels)
	slices.SortFunc(m.labels, func(a, b shard.Label) int { return cmp.Compare(b.Snapshot(), a.Snapshot()) })
}

// forget removes a snapshot that the searcher turned out not to hold.
func (m *member) forget(snapshot uint64) {
	m.labels = slices.DeleteFunc(slices.Clone(m.labels), func(l shard.Label) bool { return l.Snapshot() == snapshot })
}

// slots is the number of requests that the searcher runs at once, as far as
// the connections suffice. One connection is left for health requests and
// cancellations where there are several.
func (m *member) slots() int {
	n := m.conns
	if n > 1 {
		n--
	}
	return min(max(1, m.spec.Slots()), n)
}

// limit is the highest number of requests in flight at the share.
//
// Below the full share another home may be using the cold limit. A searcher
// that is known to be cold then gets nothing. One that is only new to this
// home gets one request at a time if it claims to be ready; without that an
// acting home, which is new to all its searchers, could not serve at all.
func (m *member) limit(share lease.Share) int {
	if m.warmth.doubted {
		return min(m.warmth.coldLimit, m.slots())
	}
	if m.warmth.warm {
		return m.slots()
	}
	if share == lease.Full {
		return min(m.warmth.allowed, m.slots())
	}
	if m.warmth.evident || m.claimed != searcher.Ready {
		return 0
	}
	return min(1, m.slots())
}

// renew forgets everything that belonged to the process before a restart.
func (m *member) renew() {
	limit := m.warmth.coldLimit
	m.warmth = newWarmth(limit)
	m.usual, m.errors = usual{}, errorRate{}
}

// knowledge is what the home passes on to the next one.
func (m *member) knowledge() Estimate {
	spec := EstimateSpec{Name: m.spec.Name(), Address: m.spec.Address(), Warm: m.warmth.warm}
	if m.estimate.known {
		spec.Latency = time.Duration(m.estimate.value)
	}
	if !m.warmth.warm {
		spec.ColdLimit = m.warmth.allowed
	}
	return NewEstimate(spec)
}

// adopt starts from what the previous home knew.
func (m *member) adopt(now time.Duration, e Estimate) {
	if e.Latency() > 0 && !m.estimate.known {
		m.estimate = estimate{value: float64(e.Latency()), at: now, known: true}
	}
	if m.warmth.warm || m.warmth.evident || m.claimed == searcher.Cold {
		return // What this home has seen itself is newer.
	}
	if e.Warm() {
		m.warmth.warm = true
		return
	}
	m.warmth.evident = true
	m.warmth.allowed = max(m.warmth.coldLimit, min(e.ColdLimit(), m.slots()))
}

// connections is the part of a connection cap that a share permits. The full
// share, one reserved share and one acting share together never exceed the cap.
func connections(share lease.Share, limit int) int {
	reserved := int(float64(limit) * lease.ReservedFraction)
	switch share {
	case lease.Full:
		return limit - reserved
	case lease.Reserved:
		return reserved - reserved/2
	case lease.Acting:
		return reserved / 2
	default:
		return 0
	}
}
