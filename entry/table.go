package entry

import (
	"slices"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/shard"
)

const (
	// refreshAge is the age after which a query causes a group's labels to be
	// asked for beside it, so that a new snapshot is used within a second. The
	// results of busy groups keep their labels young.
	refreshAge = time.Second
	// maxLabelAge is the age after which a query waits for new labels. Older
	// ones only cost a restart.
	maxLabelAge = 30 * time.Second
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
	asked  time.Duration // Boot time of the latest question.
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

// confirm records that the labels of a group are still the ones known.
func (t *table) confirm(group string, newest shard.Label) {
	now := t.clk.Boot()
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.groups[group]; ok && len(h.labels) > 0 && h.labels[0] == newest {
		h.at = now
		t.groups[group] = h
	}
}

// of returns the labels of a group, newest first.
func (t *table) of(group string) []shard.Label {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.groups[group].labels
}

// claim returns the need for a question. Only one caller a second is told to refresh.
func (t *table) claim(group string) need {
	now := t.clk.Boot()
	t.mu.RLock()
	h, ok := t.groups[group]
	t.mu.RUnlock()
	switch {
	case !ok, len(h.labels) == 0, now-h.at >= maxLabelAge:
		return wait
	case now-max(h.at, h.asked) < refreshAge:
		return none
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h = t.groups[group]
	if now-max(h.at, h.asked) < refreshAge {
		return none
	}
	h.asked = now
	t.groups[group] = h
	return refresh
}

// doubt makes the next query wait for new labels of the group.
func (t *table) doubt(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.groups[group]; ok {
		h.at = t.clk.Boot() - maxLabelAge
		t.groups[group] = h
	}
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
