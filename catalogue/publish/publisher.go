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
	// maxValue is the largest object that the store accepts, in bytes.
	maxValue = 1_000_000
	// maxAuthor is the longest author in bytes; daemons refuse objects with a longer one.
	maxAuthor = 256
)

// Publisher reads and changes the catalogue object.
type Publisher struct {
	store store.Store
	clock clock.Clock
	token func() string
	pause time.Duration
}

// Option changes a Publisher under construction.
type Option func(*Publisher)

// WithClock sets the clock; the default is clock.System.
func WithClock(c clock.Clock) Option { return func(p *Publisher) { p.clock = c } }

// WithToken sets the source of unique tokens; the default is random.
func WithToken(f func() string) Option { return func(p *Publisher) { p.token = f } }

// WithPause sets the wait after the first failure of the store.
func WithPause(d time.Duration) Option { return func(p *Publisher) { p.pause = d } }

// New returns a Publisher that uses s.
func New(s store.Store, opts ...Option) *Publisher {
	p := &Publisher{store: s, clock: clock.System{}, token: rand.Text, pause: firstPause}
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

// Apply checks text and puts it in force as the successor of generation based.
// It returns the catalogue that is then in force. A text that equals the one in
// force is not written again. Errors are *syntax.Problems for a faulty text,
// *Race, *Unknown, or an error of the store before anything was written.
func (p *Publisher) Apply(ctx context.Context, text []byte, author string, based uint64) (Current, error) {
	if _, err := evaluate.Text("catalogue", text, based+1); err != nil {
		return Current{}, err
	}
	if len(author) > maxAuthor || !utf8.ValidString(author) || strings.ContainsFunc(author, unicode.IsControl) {
		return Current{}, eris.Errorf("author %.40q: expected at most %d bytes of UTF-8 without control characters", author, maxAuthor)
	}
	now, version, err := p.read(ctx)
	if err != nil {
		return Current{}, err
	}
	if now.Generation() != based {
		return now, &Race{based: based, now: now}
	}
	if based > 0 && now.Text() == string(text) {
		return now, nil
	}
	next := NewCurrent(CurrentSpec{
		Generation: based + 1,
		Token:      p.token(),
		Text:       string(text),
		Author:     author,
		Applied:    p.clock.Now().UTC().Truncate(time.Millisecond),
	})
	value, err := next.Encode()
	if err != nil {
		return Current{}, err
	}
	if len(value) > maxValue {
		return Current{}, eris.Errorf("the object %s would have %d bytes, the store accepts %d", Key, len(value), maxValue)
	}
	return p.write(ctx, next, value, version)
}

// write repeats the same conditional update until its fate is known. Repeating
// is safe: the update applies to one version of the object only, so it takes
// effect at most once, and the token tells whose update that was.
func (p *Publisher) write(ctx context.Context, next Current, value []byte, version uint64) (Current, error) {
	r := &retry{clock: p.clock, pause: p.pause, unknown: Unknown{generation: next.Generation(), token: next.Token()}}
	for lost := false; ; lost = true {
		_, err := p.store.Put(ctx, Key, value, version)
		if err == nil {
			return next, nil
		}
		if errors.Is(err, store.ErrConflict) {
			return p.resolve(ctx, next, lost, r)
		}
		if err := r.wait(ctx, err); err != nil {
			return Current{}, err
		}
	}
}

// resolve reads the object back after a conflict. When the reply to an earlier
// attempt was lost, that attempt may be what the store conflicts with.
func (p *Publisher) resolve(ctx context.Context, next Current, lost bool, r *retry) (Current, error) {
	for {
		now, _, err := p.read(ctx)
		switch {
		case err != nil:
			if err := r.wait(ctx, err); err != nil {
				return Current{}, err
			}
		case now.Token() == next.Token():
			return now, nil
		case !lost || now.Generation() <= next.Generation():
			return now, &Race{based: next.Generation() - 1, now: now}
		default:
			// Later generations hide whether ours or another was their base.
			cause := eris.Errorf("generation %d by %q is in force by now", now.Generation(), now.Author())
			return now, r.giveUp(cause)
		}
	}
}
