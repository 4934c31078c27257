package move

import (
	"context"
	"math/rand/v2"

	"medlaryard.example/medlaryard/store"
)

// fakeStore is an in-memory object store. All calls fail while unavailable is
// set. A write takes effect but loses its reply with replyLossProbability.
type fakeStore struct {
	store.Store
	rng                  *rand.Rand
	objects              map[string]store.Object
	unavailable          bool
	replyLossProbability float64
	history              []State
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{rng: rand.New(rand.NewPCG(seed, 1)), objects: make(map[string]store.Object)}
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Object, error) {
	if f.unavailable {
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := f.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, expected uint64) (store.Object, error) {
	if f.unavailable {
		return store.Object{}, store.ErrUnavailable
	}
	if f.objects[key].Version() != expected {
		return store.Object{}, store.ErrConflict
	}
	o := store.NewObject(key, expected+1, value)
	f.objects[key] = o
	s, err := DecodeState(value)
	if err != nil {
		panic(err)
	}
	f.history = append(f.history, s)
	if f.rng.Float64() < f.replyLossProbability {
		return store.Object{}, store.ErrUnavailable
	}
	return o, nil
}
