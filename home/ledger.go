package home

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLedgerRows bounds the versions and routes of one service that are told
// apart; each row holds a histogram of about 20 kB.
const maxLedgerRows = 64

// otherRoute collects the routes beyond the bound.
const otherRoute = "other"

type ledgerKey struct{ version, route string }

type ledgerRow struct {
	requests, errors uint64
	latency          *hdrhistogram.Histogram
}

// ledger accumulates the evidence on one service. It is safe for concurrent use.
type ledger struct {
	mu   sync.Mutex
	rows map[ledgerKey]*ledgerRow
}

func newLedger() *ledger { return &ledger{rows: make(map[ledgerKey]*ledgerRow)} }

func (l *ledger) answered(version, route string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rowLocked(version, route)
	row.requests++
	record(row.latency, latency)
}

func (l *ledger) failed(version, route string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rowLocked(version, route)
	row.requests++
	row.errors++
}

func (l *ledger) rowLocked(version, route string) *ledgerRow {
	key := ledgerKey{version, route}
	row := l.rows[key]
	if row == nil && len(l.rows) >= maxLedgerRows {
		key.route = otherRoute
		row = l.rows[key]
	}
	if row == nil {
		row = &ledgerRow{latency: newHistogram()}
		l.rows[key] = row
	}
	return row
}

// evidence returns copies of all rows, ordered by version and route.
func (l *ledger) evidence(service string) []Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Evidence, 0, len(l.rows))
	for key, row := range l.rows {
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
