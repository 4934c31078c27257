package load

import (
	"time"

	"medlaryard.example/medlaryard/standin/searchers"
)

// Config describes one run of the generator.
type Config struct {
	// Daemons are IP addresses and ports of callers' interfaces. Any of them
	// serves address requests.
	Daemons []string
	// Operators are IP addresses and ports of operators' interfaces, from which
	// the counters of hedges and retries are read; empty skips that.
	Operators []string
	// Rate is the number of requests per second and Count their total number.
	Rate  float64
	Count int
	// MaxInFlight bounds the requests in flight. A request that would exceed it
	// is not sent, and is counted as refused with kind client_not_sent.
	MaxInFlight int
	Owner       string
	Class       string
	Service     string
	Route       string
	Deadline    time.Duration
	Limit       int
	// Seed determines the request bodies, which requests are non-idempotent and
	// which are resent.
	Seed uint64
	// Queries is the number of different query texts.
	Queries int
	// Corpus returns the reference answers; nil skips the comparison with them.
	Corpus *searchers.Corpus
	// RunRatio is the fraction of requests that are non-idempotent, 0 to 1. They
	// go to RunService, which defaults to Service.
	RunRatio   float64
	RunService string
	// ResendRatio is the fraction of non-idempotent requests, 0 to 1, that are
	// sent twice to one daemon and then once to another.
	ResendRatio float64
	// Searchers is the IP address and port of the searchers' admin endpoint,
	// from which the searchers' counters and the number of runs of each request
	// are read; empty skips both.
	Searchers string
}

const (
	defaultMaxInFlight = 2000
	defaultDeadline    = 2 * time.Second
	defaultLimit       = 10
	defaultQueries     = 100
	// replyGrace is how long after the deadline the generator waits for a reply.
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
