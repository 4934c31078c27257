package entry

import (
	"slices"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/shard"
)

const (
	// maxLabelAge is the age after which a group's labels are asked for again
	// before a plan. Busy groups refresh with every result.
	maxLabelAge = 5 * time.Second
	// maxGroups bounds the table: 130 groups in each of 500 services.
	maxGroups = 65536
	// maxLabels is the number of snapshots kept for one group. Searchers hold
	// two or three during a change of version.
	maxLabels = 8
)

// table holds the labels that each replica group served last.
type table struct {
	clk clock.Clock

	mu     sync.RWMutex
	groups map[string]held
}

type held struct {
	labels []shard.Label
	at     time.Duration // Boot time of the report.
}

func newTable(clk clock.Clock) *table {
	return &table{clk: clk, groups: make(map[string]held)}
}

// learn replaces the labels of a group.
func (t *table) learn(group string, labels []shard.Label) {
	kept := make([]shard.Label, 0, min(len(labels), maxLabels))
	for _, l := range labels {
		if valid(l) {
			kept = append(kept, l)
		}
	}
	slices.SortFunc(kept, newestFirst)
	kept = kept[:min(len(kept), maxLabels)]
	now := t.clk.Boot()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.groups[group]; !ok && len(t.groups) >= maxGroups {
		t.evictLocked()
	}
	t.groups[group] = held{labels: kept, at: now}
}

// of returns the labels of a group; fresh is false when they should be asked for.
func (t *table) of(group string) (labels []shard.Label, fresh bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	h, ok := t.groups[group]
	return h.labels, ok && len(h.labels) > 0 && t.clk.Boot()-h.at < maxLabelAge
}

// evictLocked removes some group; the catalogue has removed most of a full table.
func (t *table) evictLocked() {
	oldest, at := "", time.Duration(1<<63-1)
	n := 0
	for g, h := range t.groups {
		if h.at < at {
			oldest, at = g, h.at
		}
		// A sample bounds the cost of an eviction under the lock.
		if n++; n == 64 {
			break
		}
	}
	delete(t.groups, oldest)
}

func newestFirst(a, b shard.Label) int {
	switch {
	case a.Snapshot() > b.Snapshot():
		return -1
	case a.Snapshot() < b.Snapshot():
		return 1
	case a.Map() < b.Map():
		return -1
	case a.Map() > b.Map():
		return 1
	default:
		return 0
	}
}
