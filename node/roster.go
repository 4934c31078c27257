package node

import (
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/targets"
)

// linger is how long a target whose entry has vanished is still used. Entries
// that lapsed during an outage of the store are back about two seconds after it,
// and a target that leaves serves for at least three seconds.
const linger = 2300 * time.Millisecond

// roster is the targets that the store names, and those that it named lately.
type roster struct {
	log    zerolog.Logger
	known  map[string]*listed
	faulty map[string]bool
}

// listed is one entry of the roster.
type listed struct {
	entry    targets.Entry
	vanished time.Time // When the entry was found missing; zero while it is there.
}

func newRoster(log zerolog.Logger) *roster {
	return &roster{log: log, known: make(map[string]*listed), faulty: make(map[string]bool)}
}

// update takes in all entries of the store.
func (r *roster) update(targets []platform.Target, now time.Time) {
	present := make(map[string]bool, len(targets))
	faulty := make(map[string]bool)
	for _, t := range targets {
		if t.Err() != nil {
			faulty[t.Name()] = true
			if !r.faulty[t.Name()] {
				r.log.Warn().Err(t.Err()).Str("entry", t.Name()).Msg("entry names no target")
			}
			continue
		}
		present[t.Name()] = true
		r.known[t.Name()] = &listed{entry: t.Entry()}
	}
	r.faulty = faulty
	for name, l := range r.known {
		if !present[name] && l.vanished.IsZero() {
			l.vanished = now
		}
	}
}

// entries returns the entries that may get requests by service, and when the
// next of them expires; zero means that none does.
func (r *roster) entries(now time.Time, evacuated map[string]bool) (map[string][]targets.Entry, time.Time) {
	byService := make(map[string][]targets.Entry)
	var next time.Time
	for name, l := range r.known {
		if !l.vanished.IsZero() {
			expires := l.vanished.Add(linger)
			if !now.Before(expires) {
				delete(r.known, name)
				continue
			}
			if next.IsZero() || expires.Before(next) {
				next = expires
			}
		}
		if l.entry.Draining() || evacuated[l.entry.Domain()] {
			continue
		}
		byService[l.entry.Service()] = append(byService[l.entry.Service()], l.entry)
	}
	return byService, next
}
