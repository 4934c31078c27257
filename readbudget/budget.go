package readbudget

import (
	"errors"
	"io"
	"sync"

	"medlaryard.example/medlaryard/clock"
)

const (
	// maxBytes bounds the answers that are being read, over all targets.
	maxBytes = 24 << 20
	// memoryFraction is the part of the VM's memory that answers may take while they
	// are being read.
	memoryFraction = 0.085
	// freeBytes is the part of each answer that does not count, so that usual
	// answers are read whatever the other targets send.
	freeBytes = 64 << 10
)

// Budget bounds the memory that answers take while they are being read. It is safe
// for concurrent use.
type Budget struct {
	limit int
	room  func(n int) int
	clock clock.Clock
	full  func() bool
	admit func(n int) bool

	mu    sync.Mutex
	taken int
	freed chan struct{} // Closed and replaced when memory is released.
}

// New returns a budget for the connections of one daemon.
func New(opts ...Option) *Budget {
	b := &Budget{limit: maxBytes, clock: clock.System{}, full: func() bool { return false }, admit: func(int) bool { return true }, freed: make(chan struct{})}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Option sets an option of a Budget.
type Option func(*Budget)

// Clock sets the clock; the default is the system's.
func Clock(c clock.Clock) Option { return func(b *Budget) { b.clock = c } }

// Memory sets the memory of the VM in bytes, which lowers the budget on a small
// one. 0 means that it is not known.
func Memory(n int64) Option {
	return func(b *Budget) {
		if n > 0 {
			b.limit = min(maxBytes, int(memoryFraction*float64(n)))
		}
	}
}

// Beside sets a function that returns how much memory answers may take beside what
// else is held. It gets the bytes that are needed and may free memory. One answer is
// read whatever it returns.
func Beside(f func(n int) int) Option { return func(b *Budget) { b.room = f } }

// PauseWhen sets a function that reports whether the process holds so much memory that
// large answers must wait. It covers what no budget counts: garbage that has not been
// collected yet, and answers that were read and are about to be written.
func PauseWhen(full func() bool) Option { return func(b *Budget) { b.full = full } }

// AdmitBy sets a function that is called before n bytes of a large answer are allocated.
// It may wait until garbage is collected, and returns false if there is no memory; one
// answer is read all the same. Without it, answers that are read one after the other
// would make garbage without a bound.
func AdmitBy(f func(n int) bool) Option { return func(b *Budget) { b.admit = f } }

// admits reports whether n bytes, which an answer that has taken own bytes has taken
// last, may be allocated.
func (b *Budget) admits(n, own int) bool {
	if b.admit(n) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken == own
}

// take takes n more bytes for an answer that has taken own bytes, unless too few are
// left.
func (b *Budget) take(n, own int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	alone := b.taken == own && own+n <= maxBytes // One answer is read in any case.
	if !alone && (b.taken+n > b.limit || b.full() || b.room != nil && b.taken+n > b.room(b.taken+n)) {
		return false
	}
	b.taken += n
	return true
}

func (b *Budget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken -= n
	close(b.freed)
	b.freed = make(chan struct{})
}

var errSpent = errors.New("answers of all targets exceed the memory for reading them")

// Reader reads the answers of one connection within a budget. It is used by one
// goroutine.
type Reader struct {
	io.Reader
	budget *Budget
	read   int // Bytes of the current answer.
	taken  int // Part of these that counts against the budget.
}

// NewReader returns a Reader of r within the budget.
func NewReader(r io.Reader, b *Budget) *Reader { return &Reader{Reader: r, budget: b} }

// Read implements io.Reader. It fails if the budget is spent.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += n
	if need := r.read - freeBytes - r.taken; need > 0 {
		if !r.budget.take(need, r.taken) {
			return 0, errSpent
		}
		r.taken += need
		if !r.budget.admits(need, r.taken) {
			return 0, errSpent
		}
	}
	return n, err
}

// EndAnswer returns what the current answer has taken.
func (r *Reader) EndAnswer() {
	if r.taken > 0 {
		r.budget.release(r.taken)
	}
	r.read, r.taken = 0, 0
}
