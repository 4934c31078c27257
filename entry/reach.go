package entry

import (
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
)

const (
	// silentPause is the time for which a silent daemon is passed over. The
	// member lease removes it from the hash order after 3 s.
	silentPause = 500 * time.Millisecond
	// maxPeers bounds the table; a cell has tens of daemons.
	maxPeers = 4096
)

// reach remembers which daemons answered peer calls.
type reach struct {
	clk clock.Clock

	mu    sync.Mutex
	peers map[string]contact
}

type contact struct {
	answered time.Duration // Boot time of the latest answer.
	until    time.Duration // Boot time until which the daemon is passed over.
}

func newReach(clk clock.Clock) *reach {
	return &reach{clk: clk, peers: make(map[string]contact)}
}

// answered records an answer of the daemon.
func (r *reach) answered(h Home) {
	r.set(h, contact{answered: r.clk.Boot()})
}

// failed records that the daemon could not be reached. A later answer clears it.
func (r *reach) failed(h Home) {
	r.mu.Lock()
	c := r.peers[h.Name()]
	r.mu.Unlock()
	c.until = r.clk.Boot() + silentPause
	r.set(h, c)
}

func (r *reach) set(h Home, c contact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.peers[h.Name()]; !ok && len(r.peers) >= maxPeers {
		clear(r.peers)
	}
	r.peers[h.Name()] = c
}

// heard returns the boot time of the daemon's latest answer.
func (r *reach) heard(h Home) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers[h.Name()].answered
}

// up reports whether the daemon should be tried. After the pause one caller
// tries a silent daemon again; the others pass it over until it has answered.
func (r *reach) up(h Home) bool {
	if h.Self() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.peers[h.Name()]
	if c.until == 0 {
		return true
	}
	now := r.clk.Boot()
	if c.until > now {
		return false
	}
	c.until = now + silentPause
	r.peers[h.Name()] = c
	return true
}

// answers reports whether the daemon answered its latest call, without trying it.
func (r *reach) answers(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers[name].until == 0
}
