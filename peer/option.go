package peer

import (
	"time"

	"medlaryard.example/medlaryard/clock"
)

const (
	// maxMessage bounds a request or reply in bytes. A catalogue has up to 1 MB
	// in the store, and a relay reply has up to a few hundred hits per group.
	maxMessage = 8 << 20
	// maxConnections bounds the connections to one daemon.
	maxConnections = 64
	// maxIdle bounds the idle connections to one daemon.
	maxIdle = 16
	// maxRemotes bounds the table of daemons that the client has called.
	maxRemotes = 1024
	// idleTime closes connections to daemons that are no longer called.
	idleTime = 90 * time.Second
	// dialTime bounds the time of a new connection.
	dialTime = time.Second
	// keyHeader carries the shared key.
	keyHeader = "X-Peer-Key"
)

// Option changes a Client or Server.
type Option func(*config)

type config struct {
	clk         clock.Clock
	key         string
	maxMessage  int64
	connections int
}

func newConfig(opts []Option) config {
	c := config{clk: clock.System{}, maxMessage: maxMessage, connections: maxConnections}
	for _, o := range opts {
		o(&c)
	}
	return c
}

// WithClock sets the clock that deadlines are measured on.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clk = clk } }

// WithKey sets the key that all daemons share. Without a key, calls carry none
// and the server accepts every caller that reaches its listener.
func WithKey(key string) Option { return func(c *config) { c.key = key } }

// WithMaxMessage bounds a request or reply in bytes.
func WithMaxMessage(n int64) Option { return func(c *config) { c.maxMessage = n } }

// WithConnections bounds the connections to one daemon.
func WithConnections(n int) Option { return func(c *config) { c.connections = n } }
