package objects

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/store"
)

// Store is an in-memory object store. It is safe for concurrent use.
type Store struct {
	clock clock.Clock

	mu      sync.Mutex
	objects map[string]store.Object
	changed chan struct{} // Closed and replaced when objects or faults change.
	faults  Faults
	calls   Calls
}

var _ store.Store = (*Store)(nil)

// Calls is the number of calls that a Store received, by method.
type Calls struct {
	Gets    int `json:"gets"`
	Puts    int `json:"puts"`
	Watches int `json:"watches"`
	Lists   int `json:"lists"`
}

// Option configures a Store.
type Option func(*Store)

// WithClock sets the clock that measures Faults.Delay. The default is the system
// clock.
func WithClock(c clock.Clock) Option { return func(s *Store) { s.clock = c } }

// New returns an empty Store without faults.
func New(opts ...Option) *Store {
	s := &Store{clock: clock.System{}, objects: make(map[string]store.Object), changed: make(chan struct{})}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetFaults replaces the injected faults. Pending watches see an outage at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyLocked()
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls that the Store received so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Gets++ }); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return store.Object{}, fmt.Errorf("%w: %q", store.ErrNotFound, key)
	}
	return o, nil
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected uint64) (store.Object, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Puts++ }); err != nil {
		return store.Object{}, err
	}
	if len(value) > store.MaxValueBytes {
		return store.Object{}, fmt.Errorf("value of %q has %d bytes, the limit is %d", key, len(value), store.MaxValueBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropPuts > 0 {
		s.faults.DropPuts--
		return store.Object{}, fmt.Errorf("%w: write of %q dropped", store.ErrUnavailable, key)
	}
	version := s.objects[key].Version()
	if expected != store.Any && expected != version {
		return store.Object{}, fmt.Errorf("%w: %q has version %d, expected %d", store.ErrConflict, key, version, expected)
	}
	o := store.NewObject(key, version+1, append([]byte(nil), value...))
	s.objects[key] = o
	s.notifyLocked()
	if s.faults.LosePuts > 0 {
		s.faults.LosePuts--
		return store.Object{}, fmt.Errorf("%w: reply to write of %q lost", store.ErrUnavailable, key)
	}
	return o, nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, seen uint64) (store.Object, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return store.Object{}, err
	}
	for {
		s.mu.Lock()
		o, outage, changed := s.objects[key], s.faults.Outage, s.changed
		s.mu.Unlock()
		switch {
		case outage:
			return store.Object{}, fmt.Errorf("%w: outage", store.ErrUnavailable)
		case o.Version() != seen && o.Version() == 0:
			return store.Object{}, fmt.Errorf("%w: %q", store.ErrNotFound, key)
		case o.Version() != seen:
			return o, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Object{}, fmt.Errorf("watch of %q: %w", key, ctx.Err())
		}
	}
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Lists++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var matches []store.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			matches = append(matches, o)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i].Key() < matches[j].Key() })
	return matches, nil
}

// begin counts the call and applies the faults that precede its effect: the delay
// and the outage.
func (s *Store) begin(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		if err := clock.Sleep(ctx, s.clock, f.Delay); err != nil {
			return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
		}
	}
	if s.Faults().Outage {
		return fmt.Errorf("%w: outage", store.ErrUnavailable)
	}
	return nil
}

// notifyLocked wakes the pending watches.
func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
