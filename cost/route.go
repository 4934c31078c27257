package cost

import (
	"sync"
	"time"
)

const (
	// maxKinds bounds the kinds of a route.
	maxKinds = 64
	// initialFraction is the assumed service time of a new route as a fraction of
	// its objective.
	initialFraction = 0.15
)

// Route holds the kinds of requests of one route. A new kind is predicted as the
// whole route, a new route as a fraction of its objective.
type Route struct {
	all *Kind

	mu    sync.Mutex
	uses  uint64
	kinds map[uint64]*Kind
}

// NewRoute returns a route with the given objective and without samples.
func NewRoute(objective time.Duration) *Route {
	initial := constant(max(time.Duration(initialFraction*float64(objective)), time.Millisecond))
	return &Route{all: &Kind{initial: initial}, kinds: make(map[uint64]*Kind)}
}

// Kind returns the kind of requests with the given shape. It is predicted as the
// kind with the same form and any words while it is new, and that as the whole
// route. If the route has too many kinds, the least recently used one is forgotten.
func (r *Route) Kind(s Shape) *Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kind(s.words, r.kind(s.form, r.all))
}

// Find returns the kind of requests with the given shape, or the less specific one by
// which it would be predicted while it is new. Unlike Kind, it changes nothing.
func (r *Route) Find(s Shape) *Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.kinds[s.words]; k != nil {
		return k
	}
	if k := r.kinds[s.form]; k != nil {
		return k
	}
	return r.all
}

func (r *Route) kind(key uint64, parent *Kind) *Kind {
	k := r.kinds[key]
	if k == nil {
		if len(r.kinds) >= maxKinds {
			r.evict()
		}
		k = &Kind{parent: parent}
		r.kinds[key] = k
	}
	r.uses++
	k.usedAt = r.uses
	return k
}

func (r *Route) evict() {
	var oldest *Kind
	var key uint64
	for other, k := range r.kinds {
		if oldest == nil || k.usedAt < oldest.usedAt {
			oldest, key = k, other
		}
	}
	delete(r.kinds, key)
}

// Len returns the number of kinds.
func (r *Route) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.kinds)
}
