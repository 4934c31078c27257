package home

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxEvidenceRows bounds the rows of one service, one for each version and
// route. Each row holds a histogram of about 20 kB.
const maxEvidenceRows = 64

// otherRoute is the route of requests that get no row of their own because the
// table is full.
const otherRoute = "other"

type evidenceKey struct{ version, route string }

type evidenceRow struct {
	requests, errors uint64
	latency          *hdrhistogram.Histogram
}

// evidenceTable accumulates the evidence on one service. It is safe for concurrent use.
type evidenceTable struct {
	mu   sync.Mutex
	rows map[evidenceKey]*evidenceRow
}

func newEvidenceTable() *evidenceTable {
	return &evidenceTable{rows: make(map[evidenceKey]*evidenceRow)}
}

func (t *evidenceTable) recordReply(version, route string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowLocked(version, route)
	row.requests++
	recordLatency(row.latency, latency)
}

func (t *evidenceTable) recordError(version, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowLocked(version, route)
	row.requests++
	row.errors++
}

func (t *evidenceTable) rowLocked(version, route string) *evidenceRow {
	key := evidenceKey{version, route}
	row := t.rows[key]
	if row == nil && len(t.rows) >= maxEvidenceRows {
		key.route = otherRoute
		row = t.rows[key]
	}
	if row == nil {
		row = &evidenceRow{latency: newHistogram()}
		t.rows[key] = row
	}
	return row
}

// list returns a copy of all rows, ordered by version and route.
func (t *evidenceTable) list(service string) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Evidence, 0, len(t.rows))
	for key, row := range t.rows {
		latency := newHistogram()
		latency.Merge(row.latency)
		out = append(out, NewEvidence(EvidenceSpec{
			Service: service, Version: key.version, Route: key.route,
			Requests: row.requests, Errors: row.errors, Latency: latency,
		}))
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Version(), b.Version()), cmp.Compare(a.Route(), b.Route()))
	})
	return out
}
