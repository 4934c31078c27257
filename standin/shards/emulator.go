package shards

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"sync"
)

// Emulator is a set of emulated targets by address.
type Emulator struct {
	seed int64

	mu      sync.Mutex
	targets map[string]*Target
}

// New returns an emulator whose targets draw their randomness from seed.
func New(seed int64) *Emulator {
	return &Emulator{seed: seed, targets: make(map[string]*Target)}
}

// Add adds a target with the given identity and returns it. It assigns the target
// a unique address.
func (e *Emulator) Add(id string, b Behaviour) *Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(e.targets)
	address := fmt.Sprintf("10.9.%d.%d:8080", n/250, n%250+1)
	t := newTarget(id, address, b, e.seed+int64(n))
	e.targets[address] = t
	return t
}

// Address returns the host:port by which Dial reaches the target.
func (t *Target) Address() string { return t.address }

// ID returns the identity that the target sends in the platform.HeaderInstance
// and platform.HeaderStamp headers.
func (t *Target) ID() string { return t.id }

// Dial returns an in-memory connection to the target at address. It refuses the
// connection if there is no target or the target is down, resets it if the target
// has reached its connection limit, and blocks until ctx ends if the target is a
// blackhole.
func (e *Emulator) Dial(ctx context.Context, address string) (net.Conn, error) {
	e.mu.Lock()
	t := e.targets[address]
	e.mu.Unlock()
	if t == nil {
		return nil, errRefused
	}
	return t.dial(ctx)
}

// Close takes all targets down, which closes their connections.
func (e *Emulator) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.targets {
		t.SetBehaviour(t.currentBehaviour().With(Down()))
	}
}

// recordsPerPart is the number of records in the part that a target returns.
const recordsPerPart = 8

// Records returns the body with which the target named id answers a request for
// uri: recordsPerPart records of 16 bytes each, derived from id and uri by a hash.
func Records(id, uri string) []byte {
	var out []byte
	for i := range recordsPerPart {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", id, uri, i))
		out = append(out, sum[:16]...)
	}
	return out
}
