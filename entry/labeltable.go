package entry

import (
	"slices"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/shard"
)

const (
	// refreshAge is the age after which a query refreshes a group's labels in
	// the background, so that a new snapshot is used within a second. Results
	// keep the labels of busy groups current without a refresh.
	refreshAge = time.Second
	// maxLabelAge is the age after which a query waits for new labels. Outdated
	// labels cost a restart and nothing else.
	maxLabelAge = 30 * time.Second
	// maxGroups limits the table. It allows 130 groups in each of 500 services.
	maxGroups = 65536
	// maxLabels is the number of labels kept for one group. Searchers hold two
	// or three snapshots while they change from one to the next.
	maxLabels = 8
)

// labelTable holds the labels that each replica group reported last.
type labelTable struct {
	clk clock.Clock

	mu     sync.RWMutex
	groups map[string]groupLabels
}

type groupLabels struct {
	labels         []shard.Label
	reported       time.Duration // Boot time of the report.
	refreshStarted time.Duration // Boot time of the latest background refresh.
}

func newLabelTable(clk clock.Clock) *labelTable {
	return &labelTable{clk: clk, groups: make(map[string]groupLabels)}
}

// update replaces the labels of a group with the valid ones of labels.
func (t *labelTable) update(group string, labels []shard.Label) {
	kept := make([]shard.Label, 0, min(len(labels), maxLabels))
	for _, label := range labels {
		if validLabel(label) {
			kept = append(kept, label)
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
	t.groups[group] = groupLabels{labels: kept, reported: now}
}

// confirm resets the age of a group's labels if newest is still the newest of
// them.
func (t *labelTable) confirm(group string, newest shard.Label) {
	now := t.clk.Boot()
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, ok := t.groups[group]; ok && len(current.labels) > 0 && current.labels[0] == newest {
		current.reported = now
		t.groups[group] = current
	}
}

// get returns the labels of a group, newest first. The caller must not change
// them.
func (t *labelTable) get(group string) []shard.Label {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.groups[group].labels
}

// claimRefresh returns whether and when the caller must refresh the labels of a
// group. It returns refreshInBackground to only one caller a second.
func (t *labelTable) claimRefresh(group string) refreshMode {
	now := t.clk.Boot()
	t.mu.RLock()
	current, ok := t.groups[group]
	t.mu.RUnlock()
	switch {
	case !ok, len(current.labels) == 0, now-current.reported >= maxLabelAge:
		return refreshBeforePlan
	case now-max(current.reported, current.refreshStarted) < refreshAge:
		return refreshNone
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current = t.groups[group]
	if now-max(current.reported, current.refreshStarted) < refreshAge {
		return refreshNone
	}
	current.refreshStarted = now
	t.groups[group] = current
	return refreshInBackground
}

// invalidate ages the labels of a group, so that the next query waits for new
// ones.
func (t *labelTable) invalidate(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, ok := t.groups[group]; ok {
		current.reported = t.clk.Boot() - maxLabelAge
		t.groups[group] = current
	}
}

// evictLocked removes an old group to make room. Most groups of a full table are
// no longer in the catalogue.
func (t *labelTable) evictLocked() {
	oldest, oldestReport := "", time.Duration(1<<63-1)
	sampled := 0
	for g, current := range t.groups {
		if current.reported < oldestReport {
			oldest, oldestReport = g, current.reported
		}
		// A sample of 64 limits the time that the lock is held.
		if sampled++; sampled == 64 {
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
