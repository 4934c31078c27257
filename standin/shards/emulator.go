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

// Add starts a target of that identity and returns it.
func (e *Emulator) Add(id string, b Behaviour) *Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(e.targets)
	address := fmt.Sprintf("10.9.%d.%d:8080", n/250, n%250+1)
	t := newTarget(id, address, b, e.seed+int64(n))
	e.targets[address] = t
	return t
}

// Address returns where the target accepts connections.
func (t *Target) Address() string { return t.address }

// ID returns the target's identity.
func (t *Target) ID() string { return t.id }

// Dial makes a connection to the target at address.
func (e *Emulator) Dial(ctx context.Context, address string) (net.Conn, error) {
	e.mu.Lock()
	t := e.targets[address]
	e.mu.Unlock()
	if t == nil {
		return nil, errRefused
	}
	return t.dial(ctx)
}

// Close ends all connections.
func (e *Emulator) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.targets {
		t.SetBehaviour(t.behaviour().With(Down()))
	}
}

// recordsOfPart is how many records a part holds.
const recordsOfPart = 8

// Records returns the part that a target answers to a request for uri.
func Records(id, uri string) []byte {
	var out []byte
	for i := range recordsOfPart {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", id, uri, i))
		out = append(out, sum[:16]...)
	}
	return out
}
