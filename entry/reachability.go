package entry

import (
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
)

const (
	// avoidPeriod is how long a daemon is avoided after a failed call. A lost
	// daemon leaves the preference lists when its member lease expires after 3 s.
	avoidPeriod = 500 * time.Millisecond
	// maxPeers limits the table. A cell has tens of daemons.
	maxPeers = 4096
)

// reachability records which daemons answer peer calls.
type reachability struct {
	clk clock.Clock

	mu    sync.Mutex
	peers map[string]contact
}

type contact struct {
	lastAnswer time.Duration // Boot time of the latest answer.
	avoidUntil time.Duration // Boot time until which the daemon is avoided; 0 after an answer.
}

func newReachability(clk clock.Clock) *reachability {
	return &reachability{clk: clk, peers: make(map[string]contact)}
}

// recordSuccess records an answer of the daemon.
func (r *reachability) recordSuccess(h Home) {
	r.set(h, contact{lastAnswer: r.clk.Boot()})
}

// recordFailure records that the daemon did not answer a call. The daemon is
// avoided until it answers one.
func (r *reachability) recordFailure(h Home) {
	r.mu.Lock()
	c := r.peers[h.Name()]
	r.mu.Unlock()
	c.avoidUntil = r.clk.Boot() + avoidPeriod
	r.set(h, c)
}

func (r *reachability) set(h Home, c contact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.peers[h.Name()]; !ok && len(r.peers) >= maxPeers {
		clear(r.peers)
	}
	r.peers[h.Name()] = c
}

// lastAnswer returns the boot time of the daemon's latest answer.
func (r *reachability) lastAnswer(h Home) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers[h.Name()].lastAnswer
}

// allowCall reports whether the daemon should be called. After avoidPeriod it
// allows one call to a silent daemon; further calls wait for an answer or for
// another avoidPeriod.
func (r *reachability) allowCall(h Home) bool {
	if h.Self() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.peers[h.Name()]
	if c.avoidUntil == 0 {
		return true
	}
	now := r.clk.Boot()
	if c.avoidUntil > now {
		return false
	}
	c.avoidUntil = now + avoidPeriod
	r.peers[h.Name()] = c
	return true
}

// reachable reports whether no call to the daemon has failed since its latest
// answer. Unlike allowCall it changes nothing.
func (r *reachability) reachable(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers[name].avoidUntil == 0
}
