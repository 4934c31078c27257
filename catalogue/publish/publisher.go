package publish

import (
	"context"
	"crypto/rand"
	"errors"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/catalogue/evaluate"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/store"
)

const (
	// maxObjectBytes is the maximum size of the encoded catalogue object. It stays below
	// store.MaxValueBytes.
	maxObjectBytes = 1_000_000
	// maxAuthorBytes bounds the author's name; daemons reject an object with a longer one.
	maxAuthorBytes = 256
)

// Publisher reads and updates the catalogue object.
type Publisher struct {
	store          store.Store
	clock          clock.Clock
	token          func() string
	initialBackoff time.Duration
}

// Option configures a Publisher.
type Option func(*Publisher)

// WithClock sets the clock; the default is clock.System.
func WithClock(c clock.Clock) Option { return func(p *Publisher) { p.clock = c } }

// WithToken sets the function that returns unique tokens; the default is rand.Text.
func WithToken(f func() string) Option { return func(p *Publisher) { p.token = f } }

// WithInitialBackoff sets the delay after the first failed call of the store; the
// default is 200 ms.
func WithInitialBackoff(d time.Duration) Option { return func(p *Publisher) { p.initialBackoff = d } }

// New returns a Publisher for the catalogue object in s.
func New(s store.Store, opts ...Option) *Publisher {
	p := &Publisher{store: s, clock: clock.System{}, token: rand.Text, initialBackoff: defaultInitialBackoff}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Current returns the catalogue in force, or the zero Current when none was applied yet.
func (p *Publisher) Current(ctx context.Context) (Current, error) {
	c, _, err := p.read(ctx)
	return c, err
}

// read returns the catalogue in force and the version of its object.
func (p *Publisher) read(ctx context.Context) (Current, uint64, error) {
	o, err := p.store.Get(ctx, Key)
	if errors.Is(err, store.ErrNotFound) {
		return Current{}, store.Absent, nil
	}
	if err != nil {
		return Current{}, 0, eris.Wrapf(err, "read object %s", Key)
	}
	c, err := FromObject(o)
	return c, o.Version(), err
}

// Apply checks text and writes it as the successor of generation baseGeneration.
// It returns the catalogue that is then in force. If text equals the text in
// force, Apply writes nothing. The error is a *syntax.Problems for a faulty text,
// a *ConflictError if the generation in force is not baseGeneration, or an
// *OutcomeUnknownError if the outcome of the write is unknown. With any other
// error, nothing was written.
func (p *Publisher) Apply(ctx context.Context, text []byte, author string, baseGeneration uint64) (Current, error) {
	if _, err := evaluate.Text("catalogue", text, baseGeneration+1); err != nil {
		return Current{}, err
	}
	if len(author) > maxAuthorBytes || !utf8.ValidString(author) || strings.ContainsFunc(author, unicode.IsControl) {
		return Current{}, eris.Errorf("author %.40q: expected at most %d bytes of UTF-8 without control characters", author, maxAuthorBytes)
	}
	current, version, err := p.read(ctx)
	if err != nil {
		return Current{}, err
	}
	if current.Generation() != baseGeneration {
		return current, &ConflictError{baseGeneration: baseGeneration, current: current}
	}
	if baseGeneration > 0 && current.Text() == string(text) {
		return current, nil
	}
	next := NewCurrent(CurrentSpec{
		Generation: baseGeneration + 1,
		Token:      p.token(),
		Text:       string(text),
		Author:     author,
		Applied:    p.clock.Now().UTC().Truncate(time.Millisecond),
	})
	value, err := next.Encode()
	if err != nil {
		return Current{}, err
	}
	if len(value) > maxObjectBytes {
		return Current{}, eris.Errorf("object %s would have %d bytes; the limit is %d", Key, len(value), maxObjectBytes)
	}
	return p.write(ctx, next, value, version)
}

// write repeats the same conditional update until its outcome is known or the
// retries are used up. Repeating is safe: the update applies to one version of the
// object only, so it takes effect at most once, and the token in the object shows
// whether it did.
func (p *Publisher) write(ctx context.Context, next Current, value []byte, version uint64) (Current, error) {
	r := &retry{clock: p.clock, backoff: p.initialBackoff, unknownError: OutcomeUnknownError{generation: next.Generation(), token: next.Token()}}
	for replyLost := false; ; replyLost = true {
		_, err := p.store.Put(ctx, Key, value, version)
		if err == nil {
			return next, nil
		}
		if errors.Is(err, store.ErrConflict) {
			return p.resolve(ctx, next, replyLost, r)
		}
		if err := r.wait(ctx, err); err != nil {
			return Current{}, err
		}
	}
}

// resolve determines the outcome after a conflict by reading the object back. If
// the reply to an earlier attempt was lost, the conflict may be with that attempt.
func (p *Publisher) resolve(ctx context.Context, next Current, replyLost bool, r *retry) (Current, error) {
	for {
		current, _, err := p.read(ctx)
		switch {
		case err != nil:
			if err := r.wait(ctx, err); err != nil {
				return Current{}, err
			}
		case current.Token() == next.Token():
			return current, nil
		case !replyLost || current.Generation() <= next.Generation():
			return current, &ConflictError{baseGeneration: next.Generation() - 1, current: current}
		default:
			// Only the latest generation can be read, so it is unknown whether next was
			// among the earlier ones.
			cause := eris.Errorf("generation %d by %q is already in force", current.Generation(), current.Author())
			return current, r.outcomeUnknown(cause)
		}
	}
}
