package clientbudget

import "time"

const (
	// budgetFraction is the fraction of the VM's memory that clients may take. The
	// garbage collector needs about as much again, and the rest of a daemon up to
	// 60 MB.
	budgetFraction = 0.3
	// heapFraction is the fraction of the VM's memory that the Go runtime may take
	// before it collects garbage more often. The program itself takes 12 MB more.
	heapFraction = 0.55
	// defaultMemory is the VM's memory if the settings don't state it.
	defaultMemory = 284e6
	// defaultMaxFDs is the number of descriptors if the settings don't state it.
	defaultMaxFDs = 4100
	// fileFDs is the number of descriptors that the platform reserves for files.
	fileFDs = 200
	// clientFDFraction is the part of the other descriptors that clients may take.
	clientFDFraction = 0.6
	// otherFDFraction is the part of the same that listeners, the store and peers may
	// take.
	otherFDFraction = 0.1
	// connFraction is the part of the budget that connections without a request may
	// take.
	connFraction = 0.5

	// connBytes is the memory of a connection without a request: stacks of its
	// goroutines and buffers.
	connBytes = 16 << 10
	// lineBytes is the memory of a parsed header line beyond its bytes, and
	// lineAllocationBytes what is allocated for it while the list of lines grows.
	// Both are those of the most expensive lines, see docs/CAPACITY.md.
	lineBytes           = 120
	lineAllocationBytes = 200
	// headSlack is how much of a body may be read together with the head that it
	// follows. It is the size of the server's buffer.
	headSlack = 4 << 10
)

// Limits are the bounds of a Budget.
type Limits struct {
	memory      int64 // Of the VM.
	fds         int   // Not reserved for files.
	bytes       int64
	connections int
	stall       time.Duration
	minRate     int64
	acceptRate  float64
}

// NewLimits returns the limits for a VM with the given bytes of memory and a
// process with the given number of descriptors. For a value of 0 a default is used.
func NewLimits(memory int64, maxFDs int, opts ...LimitOption) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if maxFDs <= 0 {
		maxFDs = defaultMaxFDs
	}
	l := Limits{memory: memory, fds: max(maxFDs-fileFDs, maxFDs/4), bytes: int64(budgetFraction * float64(memory)), stall: defaultStall, minRate: defaultMinRate, acceptRate: defaultAcceptRate}
	l.connections = min(int(clientFDFraction*float64(l.fds)), int(connFraction*float64(l.bytes))/connBytes)
	for _, o := range opts {
		o(&l)
	}
	return l
}

// LimitOption sets an option of Limits.
type LimitOption func(*Limits)

const (
	// defaultStall is the idle time of a connection that the platform's
	// configuration permits.
	defaultStall = 15 * time.Second
	// defaultMinRate lets a body of 256 KiB take four minutes.
	defaultMinRate = 1 << 10
	// defaultAcceptRate is many times the rate at which the clients of a lost daemon
	// connect to another one.
	defaultAcceptRate = 2000
)

// Stall sets the time after which a connection is closed whose client sends
// nothing of a body, or takes nothing of an answer. After that time the mean rate
// is bounded as well. The default is 15 s.
func Stall(d time.Duration) LimitOption { return func(l *Limits) { l.stall = d } }

// MinRate sets the least mean rate of a body, in bytes a second. The default is
// 1 KiB.
func MinRate(n int64) LimitOption { return func(l *Limits) { l.minRate = n } }

// AcceptRate sets how many connections are accepted a second. Those beyond wait; as
// many as may be open at once are accepted without a wait after a pause. The default
// is 2,000.
func AcceptRate(n float64) LimitOption { return func(l *Limits) { l.acceptRate = n } }

// Bytes returns the memory that clients may take.
func (l Limits) Bytes() int64 { return l.bytes }

// Connections returns the number of connections that clients may open.
func (l Limits) Connections() int { return l.connections }

// Descriptors returns how many descriptors clients and targets may take together, and
// how many of them targets may take whatever clients take.
func (l Limits) Descriptors() (total, forTargets int) {
	total = int((1 - otherFDFraction) * float64(l.fds))
	return total, max(1, total-int(overshoot*float64(l.connections)))
}

// HeapLimit returns the soft limit of the Go runtime for a VM with the given
// memory.
func HeapLimit(memory int64) int64 { return int64(heapFraction * float64(memory)) }
