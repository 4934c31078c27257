package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Ledger sums up the counts of all daemons. It is safe for concurrent use.
type Ledger struct {
	limits Limits

	mu       sync.Mutex
	sources  map[Source]*account
	windows  map[int64]int // Number of sources with counts, by window.
	entries  int
	folded   int64 // Windows up to this one are kept as sums and take no more updates.
	reported int64 // Windows up to this one are no longer needed.
	skipped  int64
	skipFrom int64 // The window after which windows were last counted as skipped.
}

// account is what one source has passed on.
type account struct {
	since     int64
	confirmed int64
	windows   map[int64]counts
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, sources: make(map[Source]*account), windows: make(map[int64]int)}
}

// Merge adds an update of a source. Updates may come late, repeated or in any
// order.
func (l *Ledger) Merge(from Source, u Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.sources[from]
	if a == nil {
		a = &account{windows: make(map[int64]counts)}
		l.sources[from] = a
	}
	a.since = u.Since
	a.confirmed = max(a.confirmed, u.Confirmed)
	for _, c := range u.Counts {
		if c.Window <= max(l.reported, l.folded) {
			continue
		}
		window := a.windows[c.Window]
		if window == nil {
			window = make(counts)
			a.windows[c.Window] = window
			l.windows[c.Window]++
		}
		e, ok := window[c.Account]
		if ok && e.change >= c.Change {
			continue
		}
		if !ok {
			l.entries++
		}
		window[c.Account] = entry{count: c.Count, change: c.Change}
	}
	l.bound()
}

// maxLedgerEntries limits the counts that are kept of all daemons, to about 30 MB.
// It is enough for three windows of 18 daemons with 7,000 accounts each.
const maxLedgerEntries = 400_000

// foldedSource is the source of the sums of folded windows.
var foldedSource = Source{}

// bound reduces the ledger to its limits. The oldest windows, whose counts
// probably change no more, are reduced to sums; those beyond the limits even then
// are dropped.
func (l *Ledger) bound() {
	for len(l.windows) > maxWindows || l.entries > maxLedgerEntries && len(l.windows) > 1 {
		unfolded := slices.Sorted(maps.Keys(l.windows))
		oldest := unfolded[0]
		for len(unfolded) > 0 && unfolded[0] <= l.folded {
			unfolded = unfolded[1:]
		}
		if len(l.windows) <= maxWindows && len(unfolded) > 1 {
			l.fold(unfolded[0])
			continue
		}
		l.forget(oldest)
		l.skipped++
	}
}

// fold replaces the counts of all sources in a window by their sum.
func (l *Ledger) fold(w int64) {
	total := make(counts)
	for name, n := range l.sum(w) {
		total[name] = entry{count: n}
	}
	since := w
	for _, a := range l.sources {
		since = min(since, a.since)
		l.entries -= len(a.windows[w])
		delete(a.windows, w)
	}
	a := l.sources[foldedSource]
	if a == nil {
		a = &account{since: since, windows: make(map[int64]counts)}
		l.sources[foldedSource] = a
	}
	a.windows[w] = total
	l.entries += len(total)
	l.windows[w] = 1
	l.folded = w
}

// Forget removes the windows up to the given one, and the sources that have
// nothing later.
func (l *Ledger) Forget(through int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(through)
}

func (l *Ledger) forget(through int64) {
	l.reported = max(l.reported, through)
	for s, a := range l.sources {
		for w, window := range a.windows {
			if w <= l.reported {
				l.entries -= len(window)
				delete(a.windows, w)
				delete(l.windows, w)
			}
		}
		if len(a.windows) == 0 && a.confirmed < l.reported-maxWindows {
			delete(l.sources, s)
		}
	}
}

// Report is the report of one window.
type Report struct {
	Window int64
	Counts map[string]int64
}

// Next returns the report that is due at the true time now after the given
// window, which is 0 before the first report of all. Alive are the daemons that
// are expected to confirm the window.
func (l *Ledger) Next(after int64, now time.Duration, alive []Source) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	after = max(after, l.reported)
	w, ok := l.firstComplete(after)
	if !ok {
		return Report{}, false
	}
	late := now - l.limits.EndOf(w)
	if late < l.limits.settle() || late < l.limits.bound() && !l.confirmedBy(w, alive) {
		return Report{}, false
	}
	if after > 0 && after != l.skipFrom {
		l.skipped += w - after - 1
		l.skipFrom = after
	}
	return Report{Window: w, Counts: l.sum(w)}, true
}

// firstComplete returns the first window after the given one whose counts were
// not lost. Counts are lost if no daemon has counted from the start of the window
// on. Before the first report of all, nothing was lost.
func (l *Ledger) firstComplete(after int64) (int64, bool) {
	first, found := int64(0), false
	consider := func(w int64) {
		if w > after && (!found || w < first) {
			first, found = w, true
		}
	}
	for _, a := range l.sources {
		if after == 0 {
			for w := range a.windows {
				consider(w)
			}
			consider(a.since)
			continue
		}
		last := a.confirmed
		for w := range a.windows {
			last = max(last, w)
		}
		if w := max(a.since, after+1); w <= last {
			consider(w)
		}
	}
	return first, found
}

func (l *Ledger) confirmedBy(w int64, alive []Source) bool {
	for _, s := range alive {
		if a := l.sources[s]; a == nil || a.confirmed < w {
			return false
		}
	}
	return true
}

func (l *Ledger) sum(w int64) map[string]int64 {
	total := make(map[string]int64)
	for _, a := range l.sources {
		for name, e := range a.windows[w] {
			total[name] += e.count
		}
	}
	for name, n := range total {
		if n <= 0 {
			delete(total, name)
		}
	}
	return total
}

// Waiting returns the number of windows with counts that are not reported yet.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.windows)
}

// Skipped returns the number of windows that are not reported because their
// counts were lost.
func (l *Ledger) Skipped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skipped
}
