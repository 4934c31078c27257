package load

import (
	"time"

	"medlaryard.example/medlaryard/standin/searchers"
)

// Config describes one run of the generator.
type Config struct {
	// Daemons are IP addresses and ports of callers' interfaces, of which any
	// answers address requests.
	Daemons []string
	// Operators are IP addresses and ports of operators' interfaces, from which
	// hedges and retries are read; empty skips that.
	Operators []string
	// Rate is the number of requests a second and Count their total number.
	Rate  float64
	Count int
	// MaxInFlight bounds the requests in flight; a request above it is counted
	// as not sent.
	MaxInFlight int
	Owner       string
	Class       string
	Service     string
	Route       string
	Deadline    time.Duration
	Limit       int
	// Seed determines bodies and resends.
	Seed uint64
	// Queries is the number of different query texts.
	Queries int
	// Corpus gives reference answers; nil skips that check.
	Corpus *searchers.Corpus
	// RunRatio is the share of non-idempotent requests, sent to RunService.
	RunRatio   float64
	RunService string
	// ResendRatio is the share of non-idempotent requests that are sent again
	// to the same and to another daemon.
	ResendRatio float64
	// Searchers is the IP address and port of the searchers' admin endpoint,
	// from which the sub-requests received and the runs of each identifier are
	// read; empty skips both.
	Searchers string
}

const (
	defaultMaxInFlight = 2000
	defaultDeadline    = 2 * time.Second
	defaultLimit       = 10
	defaultQueries     = 100
	// replyGrace is the time after the deadline for which a reply is awaited.
	replyGrace = time.Second
)

func (c Config) withDefaults() Config {
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.Deadline == 0 {
		c.Deadline = defaultDeadline
	}
	if c.Limit == 0 {
		c.Limit = defaultLimit
	}
	if c.Queries == 0 {
		c.Queries = defaultQueries
	}
	if c.RunService == "" {
		c.RunService = c.Service
	}
	return c
}
