package searchers

import "time"

// Held is one index snapshot that a searcher holds.
type Held struct {
	Snapshot uint64 `json:"snapshot" yaml:"snapshot"`
	Layout   Layout `json:"layout" yaml:"layout"`
}

// Config describes one searcher. Zero values select the defaults of withDefaults.
type Config struct {
	Name    string
	Service string
	Domain  string
	Version string
	// Shard is the name of the shard, Index its place in the partition map and
	// Shards their number.
	Shard  string
	Index  int
	Shards int
	// Address is the IP address and port; port 0 selects a free one.
	Address string
	Slots   int
	// Queue is the number of requests that wait for a slot before others are shed.
	Queue       int
	Connections int
	// ConnectCost delays the first byte of each new connection.
	ConnectCost time.Duration
	// ServiceTime is the mean of lognormal service times.
	ServiceTime time.Duration
	// ColdLimit is the number of requests in flight above which a cold searcher collapses.
	ColdLimit int
	// WarmAfter is the number of answers after which a cold searcher is warm.
	WarmAfter int
	// ColdSheds makes a cold searcher refuse above its limit instead of collapsing.
	ColdSheds bool
	// StartCold starts the searcher cold instead of warm.
	StartCold bool
	// RestartTime is how long the searcher is down after a crash.
	RestartTime time.Duration
	// Snapshots are held from the start.
	Snapshots []Held
	// Seed determines service times and random faults.
	Seed uint64
}

const (
	defaultSlots       = 2
	defaultQueue       = 4
	defaultConnections = 25
	defaultWarmAfter   = 20
	defaultRestart     = 500 * time.Millisecond
	// coldSlowdown multiplies service times during a cold start.
	coldSlowdown = 3
	// collapseTime is how long a collapsed searcher answers nothing.
	collapseTime = time.Second
	// noticeGrace is the time for which requests that were sent before the first
	// sign of a cold start may still arrive.
	noticeGrace = 100 * time.Millisecond
	// defaultLimit is the number of hits without X-Limit.
	defaultLimit = 100
	// sigma is the spread of lognormal service times; 0.5 puts the 0.99
	// quantile at about 2.8 times the mean.
	sigma = 0.5
)

func (c Config) withDefaults() Config {
	c.Shards = max(1, c.Shards)
	c.Slots = or(c.Slots, defaultSlots)
	c.Queue = or(c.Queue, defaultQueue)
	c.Connections = or(c.Connections, defaultConnections)
	c.ColdLimit = or(c.ColdLimit, 1)
	c.WarmAfter = or(c.WarmAfter, defaultWarmAfter)
	c.RestartTime = or(c.RestartTime, defaultRestart)
	c.Address = or(c.Address, "127.0.0.1:0")
	if len(c.Snapshots) == 0 {
		c.Snapshots = []Held{{Snapshot: 1, Layout: Even}}
	}
	return c
}

func or[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}
