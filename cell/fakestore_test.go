package cell

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/store"
)

// fakeStore simulates a store with outages, lost replies and writes that take effect
// after the caller's timeout.
type fakeStore struct {
	f              *fleet
	objects        map[string]store.Object
	down           bool
	writeDelay     time.Duration // Delay of each write before it takes effect.
	lossRate       float64
	generation     uint64
	gets, puts     int
	watches        int
	silentWatches  bool // Watches do not report changes.
	waitingWatches int
}

// applyConfiguration writes a configuration, as an operator does.
func (s *fakeStore) applyConfiguration(d Document) {
	value, err := d.Encode()
	if err != nil {
		s.f.t.Fatal(err)
	}
	s.set(CatalogueKey, value)
	s.generation = d.Generation
}

func (s *fakeStore) set(key string, value []byte) store.Object {
	s.objects[key] = store.NewObject(key, s.objects[key].Version()+1, value)
	return s.objects[key]
}

// nodeStore is the connection of one node to the store.
type nodeStore struct {
	*fakeStore
	n *node
}

func (s nodeStore) isUnreachable() bool { return s.down || s.n.storeCut || s.n.dead }

func (s nodeStore) Get(_ context.Context, key string) (store.Object, error) {
	s.gets++
	s.f.sleep(s.n, s.f.randomDuration(time.Millisecond, 20*time.Millisecond))
	if s.isUnreachable() || s.f.rng.Float64() < s.lossRate {
		s.f.sleep(s.n, storeTimeout)
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := s.objects[key]
	s.f.sleep(s.n, s.f.randomDuration(time.Millisecond, 20*time.Millisecond))
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

func (s nodeStore) Put(_ context.Context, key string, value []byte, expected uint64) (store.Object, error) {
	s.puts++
	write := func() (store.Object, error) {
		if s.objects[key].Version() != expected {
			return store.Object{}, store.ErrConflict
		}
		return s.set(key, value), nil
	}
	lost := s.f.rng.Float64()
	if lost < s.lossRate && !s.n.dead {
		s.f.start(nil, s.f.randomDuration(0, 6*time.Second), func() {
			if !s.down {
				_, _ = write()
			}
		})
	}
	if s.writeDelay >= storeTimeout {
		s.f.start(nil, s.writeDelay, func() { _, _ = write() })
		s.f.sleep(s.n, storeTimeout)
		return store.Object{}, store.ErrUnavailable
	}
	s.f.sleep(nil, s.writeDelay+s.f.randomDuration(time.Millisecond, 20*time.Millisecond))
	if s.isUnreachable() || lost < s.lossRate {
		s.f.sleep(s.n, storeTimeout)
		return store.Object{}, store.ErrUnavailable
	}
	o, err := write()
	s.f.sleep(s.n, s.f.randomDuration(time.Millisecond, 20*time.Millisecond))
	if s.f.rng.Float64() < s.lossRate {
		s.f.sleep(s.n, storeTimeout)
		return store.Object{}, store.ErrUnavailable
	}
	return o, err
}

func (s nodeStore) Watch(_ context.Context, key string, seen uint64) (store.Object, error) {
	s.watches++
	s.waitingWatches++
	defer func() { s.waitingWatches-- }()
	end := s.f.clk.Boot() + watchTimeout
	for s.f.clk.Boot() < end {
		s.f.sleep(s.n, 100*time.Millisecond)
		if s.isUnreachable() || s.f.rng.Float64() < s.lossRate/50 {
			return store.Object{}, store.ErrUnavailable
		}
		if o := s.objects[key]; o.Version() != seen && !s.silentWatches {
			return o, nil
		}
	}
	return store.Object{}, context.DeadlineExceeded
}

func (s nodeStore) List(context.Context, string) ([]store.Object, error) { return nil, nil }
