package publish_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"medlaryard.example/medlaryard/catalogue/publish"
	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/store"
)

// fakeStore holds one object and fails the calls that fail selects.
type fakeStore struct {
	store.Store
	mu      sync.Mutex
	version uint64
	value   []byte
	tokens  []string
	// fail returns the outcome of a call: "" succeeds, "before" fails without
	// effect, "after" fails after taking effect, and "other" writes another
	// operator's change first.
	fail func(call string) string
}

func (s *fakeStore) Get(context.Context, string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail("get") != "" {
		return store.Object{}, store.ErrUnavailable
	}
	if s.version == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return store.NewObject(publish.Key, s.version, s.value), nil
}

func (s *fakeStore) Put(_ context.Context, _ string, value []byte, expected uint64) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := s.fail("put")
	switch outcome {
	case "before":
		return store.Object{}, store.ErrUnavailable
	case "other":
		s.writeOther()
	}
	if expected != s.version {
		if outcome == "after" {
			return store.Object{}, store.ErrUnavailable
		}
		return store.Object{}, store.ErrConflict
	}
	c, err := publish.Decode(value)
	if err != nil {
		return store.Object{}, err
	}
	s.version, s.value, s.tokens = s.version+1, value, append(s.tokens, c.Token())
	if outcome == "after" {
		return store.Object{}, store.ErrUnavailable
	}
	return store.NewObject(publish.Key, s.version, value), nil
}

func (s *fakeStore) writeOther() {
	s.version++
	token := fmt.Sprintf("other-%d", s.version)
	c := publish.NewCurrent(publish.CurrentSpec{Generation: s.version, Token: token, Text: token, Author: "other"})
	s.value, _ = c.Encode()
	s.tokens = append(s.tokens, token)
}

// Guards against a result of Apply that contradicts the store, a change that is
// written twice after a lost reply, and a change that overwrites a concurrent one.
// The store fails calls at random before or after they take effect.
func TestApplyOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcomes := rapid.SampledFrom([]string{"", "", "", "before", "after", "other"})
		s := &fakeStore{}
		s.fail = func(call string) string {
			outcome := outcomes.Draw(t, call)
			if call == "get" && outcome == "other" {
				return ""
			}
			return outcome
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			token := fmt.Sprintf("token-%d.", i)
			p := publish.New(s, publish.WithClock(clocktest.New()), publish.WithInitialBackoff(0),
				publish.WithToken(func() string { return token }))
			base := uint64(rapid.IntRange(0, len(s.tokens)).Draw(t, "based"))
			got, err := p.Apply(context.Background(), catalogueText(i), "operator", base)
			written := strings.Count(strings.Join(s.tokens, " "), token)
			var conflict *publish.ConflictError
			var unknown *publish.OutcomeUnknownError
			switch {
			case err == nil:
				if written != 1 || got.Generation() != base+1 || got.Token() != token {
					t.Fatalf("Apply succeeded with %d writes, generation %d in force, based on %d", written, got.Generation(), base)
				}
			case errors.As(err, &conflict):
				if written != 0 || conflict.Current().Generation() == base {
					t.Fatalf("conflict with %d writes, generation %d in force, based on %d", written, conflict.Current().Generation(), base)
				}
			case errors.As(err, &unknown):
				if unknown.Token() != token || written > 1 {
					t.Fatalf("unknown outcome of token %q with %d writes of %q", unknown.Token(), written, token)
				}
			case errors.Is(err, store.ErrUnavailable):
				if written != 0 {
					t.Fatalf("store error after %d writes", written)
				}
			default:
				t.Fatal(err)
			}
			if written > 1 {
				t.Fatalf("one change was written %d times", written)
			}
		}
	})
}

// Guards against overwriting a change that another operator made between the read
// and the write of Apply, and against an error that does not name that operator.
func TestApplyConcurrentChange(t *testing.T) {
	s := &fakeStore{fail: func(string) string { return "" }}
	p := publish.New(s, publish.WithClock(clocktest.New()))
	if _, err := p.Apply(context.Background(), catalogueText(1), "Baraka", 0); err != nil {
		t.Fatal(err)
	}
	s.fail = func(call string) string {
		if call == "put" {
			return "other"
		}
		return ""
	}
	current, err := p.Apply(context.Background(), catalogueText(2), "Baraka", 1)
	var conflict *publish.ConflictError
	if !errors.As(err, &conflict) || current.Generation() != 2 || !strings.Contains(err.Error(), `"other" has applied generation 2`) {
		t.Fatalf("got generation %d, error %v", current.Generation(), err)
	}
}

// Guards against writing a faulty catalogue, an overlong author, or a generation
// whose text equals the one in force.
func TestApplyInvalidOrUnchanged(t *testing.T) {
	s := &fakeStore{fail: func(string) string { return "" }}
	p := publish.New(s, publish.WithClock(clocktest.New()))
	if _, err := p.Apply(context.Background(), []byte("owner: 5"), "operator", 0); err == nil || s.version != 0 {
		t.Fatalf("faulty text: error %v, version %d", err, s.version)
	}
	if _, err := p.Apply(context.Background(), catalogueText(1), strings.Repeat("x", 257), 0); err == nil || s.version != 0 {
		t.Fatalf("long author: error %v, version %d", err, s.version)
	}
	for range 2 {
		c, err := p.Apply(context.Background(), catalogueText(1), "operator", s.version)
		if err != nil || c.Generation() != 1 || s.version != 1 {
			t.Fatalf("error %v, generation %d, version %d", err, c.Generation(), s.version)
		}
	}
}

func catalogueText(i int) []byte {
	return fmt.Appendf(nil, `
owner: o
class: batch
limits: {rate: %d, concurrency: 1}
domains: [{name: d, region: r}]
owners: [{name: o, classes: {batch: {rate: 1, concurrency: 1}}}]
services:
  - name: s
    searcher: {domain: d, version: v, slots: 1, connections: 10}
    shards: [{name: "a", searchers: [{name: x, address: "127.0.0.1:1"}]}]
`, i+1)
}
