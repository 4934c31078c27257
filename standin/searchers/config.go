package searchers

import "time"

// HeldSnapshot is an index snapshot that a searcher holds, and the layout that
// splits it into shards.
type HeldSnapshot struct {
	Snapshot uint64 `json:"snapshot" yaml:"snapshot"`
	Layout   Layout `json:"layout" yaml:"layout"`
}

// Config describes one searcher. Zero values select the defaults of withDefaults.
type Config struct {
	Name    string
	Service string
	Domain  string
	Version string
	// Shard is the name of the shard, Index its position in the partition map,
	// from 0, and Shards the number of shards.
	Shard  string
	Index  int
	Shards int
	// Address is the IP address and port; port 0 selects a free one.
	Address string
	// Slots is the number of requests that run at the same time.
	Slots int
	// Queue is the number of requests that can wait for a slot; further requests
	// are shed.
	Queue int
	// Connections is the number of open connections above which new ones are
	// reset.
	Connections int
	// ConnectCost delays the first byte of each new connection.
	ConnectCost time.Duration
	// ServiceTime is the mean of lognormal service times.
	ServiceTime time.Duration
	// ColdLimit is the number of requests in flight above which a cold searcher
	// collapses: it answers nothing for collapseTime, and the cold start begins
	// again.
	ColdLimit int
	// WarmAfter is the number of answers that end a cold start.
	WarmAfter int
	// ColdSheds makes a cold searcher refuse requests above ColdLimit instead of
	// collapsing.
	ColdSheds bool
	// StartCold starts the searcher in a cold start.
	StartCold bool
	// RestartTime is how long the searcher is down after a crash.
	RestartTime time.Duration
	// Snapshots are the snapshots held from the start.
	Snapshots []HeldSnapshot
	// Seed determines service times and random faults.
	Seed uint64
}

const (
	defaultSlots       = 2
	defaultQueue       = 4
	defaultConnections = 25
	defaultWarmAfter   = 20
	defaultRestartTime = 500 * time.Millisecond
	// coldSlowdown multiplies service times during a cold start.
	coldSlowdown = 3
	// collapseTime is how long a searcher answers nothing after a collapse.
	collapseTime = time.Second
	// coldSignGrace allows for requests that were sent before the first sign of a
	// cold start and arrive after it.
	coldSignGrace = 100 * time.Millisecond
	// defaultLimit bounds the hits of a request without X-Limit.
	defaultLimit = 100
	// serviceTimeSigma is the sigma parameter of lognormal service times; 0.5
	// puts the 0.99 quantile at about 2.8 times the mean.
	serviceTimeSigma = 0.5
)

func (c Config) withDefaults() Config {
	c.Shards = max(1, c.Shards)
	c.Slots = valueOr(c.Slots, defaultSlots)
	c.Queue = valueOr(c.Queue, defaultQueue)
	c.Connections = valueOr(c.Connections, defaultConnections)
	c.ColdLimit = valueOr(c.ColdLimit, 1)
	c.WarmAfter = valueOr(c.WarmAfter, defaultWarmAfter)
	c.RestartTime = valueOr(c.RestartTime, defaultRestartTime)
	c.Address = valueOr(c.Address, "127.0.0.1:0")
	if len(c.Snapshots) == 0 {
		c.Snapshots = []HeldSnapshot{{Snapshot: 1, Layout: EvenLayout}}
	}
	return c
}

func valueOr[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
