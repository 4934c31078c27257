package mirror

import (
	"context"
	"errors"
	"sync"
)

var (
	// ErrOldEra is returned for an answer of the store that belongs to an era
	// before the current one. Its content is out of date and must not be used.
	ErrOldEra = errors.New("the answer belongs to an earlier era of the store")
	// ErrEraChanged is returned by a read that the store has answered in another
	// era than the one in which the read began. The kind must be listed again.
	ErrEraChanged = errors.New("the era of the store has changed")
	// ErrUnconfirmedEra is returned for the first answer of the store that states
	// an implausibly late era. A second one confirms it.
	ErrUnconfirmedEra = errors.New("the store states an era far beyond the known one, which no second answer confirms yet")
)

const (
	// maxEraStep is how far an era may be beyond the known one. A wrong value
	// beyond it would make the daemon ignore the store until it restarts. A daemon
	// that was cut off for long may miss a few eras.
	maxEraStep = 16
	// maxFirstEra is the latest era that is believed at once while none is known.
	// Each restore adds one.
	maxFirstEra = 1 << 16
)

// Eras holds the latest known era of the store. The store counts its eras: each
// restore from an older copy begins the next one. It is safe for concurrent use.
type Eras struct {
	mu       sync.Mutex
	current  uint64
	claimed  uint64          // An implausibly late era that the last answer of the store has stated, or 0.
	restored bool            // Whether a later era followed the first known one.
	inEra    context.Context // Ends with the current era.
	end      context.CancelFunc
	onChange []func(era uint64)

	notifyMu sync.Mutex
	notified uint64
}

// NewEras returns the eras of a store that has stated none yet.
func NewEras() *Eras {
	e := &Eras{}
	e.inEra, e.end = context.WithCancel(context.Background())
	return e
}

// Current returns the latest known era, or 0 if the store has stated none.
func (e *Eras) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Observe records an era that an answer of the store has stated. It returns false
// if a later one is known, or if the era is implausibly late and the previous
// answer has not stated it too.
func (e *Eras) Observe(era uint64) bool {
	e.mu.Lock()
	plausible := e.isPlausible(era) || e.claimed > 0 && era >= e.claimed && era-e.claimed <= maxEraStep
	e.claimed = 0
	if !plausible {
		e.claimed = era
		e.mu.Unlock()
		return false
	}
	return e.advance(era)
}

// Learn records an era that another daemon has stated. It returns false, and
// records nothing, if the era is implausibly late: then only the store's answers
// can confirm it.
func (e *Eras) Learn(era uint64) bool {
	e.mu.Lock()
	if !e.isPlausible(era) {
		e.mu.Unlock()
		return false
	}
	e.advance(era)
	return true
}

// isPlausible reports whether an era is at most a usual step beyond the known one.
// The caller holds e.mu.
func (e *Eras) isPlausible(era uint64) bool {
	if e.current == 0 {
		return era <= maxFirstEra
	}
	return era <= e.current || era-e.current <= maxEraStep
}

// advance begins an era unless it is known. It returns false if a later one is
// known. The caller holds e.mu, which advance releases.
func (e *Eras) advance(era uint64) bool {
	if era <= e.current {
		defer e.mu.Unlock()
		return era == e.current
	}
	e.restored = e.current > 0
	e.current = era
	e.end()
	e.inEra, e.end = context.WithCancel(context.Background())
	e.mu.Unlock()
	e.notify()
	return true
}

// OnChange registers a function that is called after each change of the era,
// also of the first one that becomes known, in the order of eras; it may miss an
// era that ends at once. The function must return soon and must not call
// Observe or Learn.
func (e *Eras) OnChange(f func(era uint64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onChange = append(e.onChange, f)
}

func (e *Eras) notify() {
	e.notifyMu.Lock()
	defer e.notifyMu.Unlock()
	e.mu.Lock()
	era, functions := e.current, e.onChange
	e.mu.Unlock()
	if era <= e.notified {
		return
	}
	e.notified = era
	for _, f := range functions {
		f(era)
	}
}

// WaitAfter waits until an era after the given one is known. It returns the
// error of ctx if that ends first.
func (e *Eras) WaitAfter(ctx context.Context, era uint64) error {
	for {
		e.mu.Lock()
		current, inEra := e.current, e.inEra
		e.mu.Unlock()
		if current > era {
			return nil
		}
		select {
		case <-inEra.Done():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// within returns a context that also ends when an era after the given one is
// known.
func (e *Eras) within(ctx context.Context, era uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	e.mu.Lock()
	current, inEra := e.current, e.inEra
	e.mu.Unlock()
	if current > era {
		cancel(ErrEraChanged)
	}
	stop := context.AfterFunc(inEra, func() { cancel(ErrEraChanged) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// wasRestored reports whether a later era has followed the first known one.
func (e *Eras) wasRestored() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restored
}
