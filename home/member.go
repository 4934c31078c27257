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
	spec            *catalogue.Searcher
	target          *searcher.Target
	conns           int // Connections that the home's share allows.
	inflight        int
	planned         int // Queued requests that the current dispatch round assigned to this searcher.
	latency         latencyEstimate
	meanLatency     meanLatency
	errors          errorRate
	warmup          warmup
	labels          []shard.Label
	reportedState   searcher.State // Empty before the first health reply.
	bootID          string
	reportedVersion string // Version that the searcher reports; empty before the first health reply.
	inService       bool
	draining        bool
	drainUntil      time.Duration // A health reply that reports no drain ends the drain only after this time.
	down            bool
	endedAt         time.Duration // When it went down last; 0 if it did not.
	removed         bool
	failures        int // Consecutive failed health requests.
	lastReply       time.Duration
	lastSend        time.Duration
	pollTimer       clock.Timer
	polling         bool
}

// usable reports whether the searcher may receive new work.
func (m *member) usable() bool {
	return !m.removed && m.inService && !m.draining && !m.down && m.conns > 0
}

// holds reports whether the searcher serves the snapshot; 0 stands for any
// snapshot.
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

// setLabels replaces the labels and sorts them by snapshot, newest first.
func (m *member) setLabels(labels []shard.Label) {
	m.labels = slices.Clone(labels)
	slices.SortFunc(m.labels, func(a, b shard.Label) int { return cmp.Compare(b.Snapshot(), a.Snapshot()) })
}

// removeLabel removes a snapshot that the searcher no longer holds.
func (m *member) removeLabel(snapshot uint64) {
	m.labels = slices.DeleteFunc(slices.Clone(m.labels), func(l shard.Label) bool { return l.Snapshot() == snapshot })
}

// slots returns the number of requests that the searcher can run at once over
// its connections. With more than one connection, one is reserved for health
// requests and cancellations.
func (m *member) slots() int {
	n := m.conns
	if n > 1 {
		n--
	}
	return min(max(1, m.spec.Slots()), n)
}

// limit returns the highest number of requests in flight at the given share.
//
// Below the full share another home may be using the cold limit, so a searcher
// that is known to be cold gets no requests. A searcher that is only new to
// this home gets one request at a time if it reports ready. Otherwise an acting
// home, which is new to all its searchers, could not serve at all.
func (m *member) limit(share lease.Share) int {
	if m.warmup.limited {
		return min(m.warmup.coldLimit, m.slots())
	}
	if m.warmup.warm {
		return m.slots()
	}
	if share == lease.Full {
		return min(m.warmup.rampLimit, m.slots())
	}
	if m.warmup.knownCold || m.reportedState != searcher.Ready {
		return 0
	}
	return min(1, m.slots())
}

// setBoot records which process answered. Another one than before has restarted
// and counts as cold until its next health reply.
func (m *member) setBoot(id string) {
	if m.bootID != "" && m.bootID != id {
		m.resetAfterRestart()
		m.drainUntil, m.reportedState = 0, searcher.Cold
	}
	m.bootID = id
}

// resetAfterRestart discards all state that belonged to the process before a
// restart.
func (m *member) resetAfterRestart() {
	limit := m.warmup.coldLimit
	m.warmup = newWarmup(limit)
	m.meanLatency, m.errors = meanLatency{}, errorRate{}
}

// exportEstimate returns the estimate that is handed off to the next home.
func (m *member) exportEstimate() Estimate {
	spec := EstimateSpec{Name: m.spec.Name(), Address: m.spec.Address(), Warm: m.warmup.warm}
	if m.latency.known {
		spec.Latency = time.Duration(m.latency.value)
	}
	if !m.warmup.warm {
		spec.ColdLimit = m.warmup.rampLimit
	}
	return NewEstimate(spec)
}

// importEstimate initializes the state from the estimate of the previous home.
func (m *member) importEstimate(now time.Duration, e Estimate) {
	if e.Latency() > 0 && !m.latency.known {
		m.latency = latencyEstimate{value: float64(e.Latency()), at: now, known: true}
	}
	if m.warmup.warm || m.warmup.knownCold || m.reportedState == searcher.Cold {
		return // This home's own observations are newer.
	}
	if e.Warm() {
		m.warmup.warm = true
		return
	}
	m.warmup.knownCold = true
	m.warmup.rampLimit = max(m.warmup.coldLimit, min(e.ColdLimit(), m.slots()))
}

// connections returns the number of connections that a share may use of a
// searcher's connection limit. The full share, one reserved share and one
// acting share together never exceed the limit.
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
