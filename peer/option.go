package peer

import (
	"time"

	"medlaryard.example/medlaryard/clock"
)

const (
	// maxMessageBytes is the default size limit of a request or reply. A catalogue
	// has up to 1 MB in the store, and a relay reply has up to a few hundred hits
	// per group.
	maxMessageBytes = 8 << 20
	// maxConnections is the default limit of connections to one daemon.
	maxConnections = 64
	// maxIdleConnections is the limit of idle connections to one daemon.
	maxIdleConnections = 16
	// maxRemotes is the number of daemons to which a client keeps connections.
	maxRemotes = 1024
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 90 * time.Second
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
	// keyHeader is the header that carries the shared key.
	keyHeader = "X-Peer-Key"
)

// Option configures a Client or Server.
type Option func(*config)

type config struct {
	clock           clock.Clock
	key             string
	maxMessageBytes int64
	maxConnections  int
}

func newConfig(opts []Option) config {
	c := config{clock: clock.System{}, maxMessageBytes: maxMessageBytes, maxConnections: maxConnections}
	for _, o := range opts {
		o(&c)
	}
	return c
}

// WithClock sets the clock that measures deadlines. The default is the system clock.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clock = clk } }

// WithKey sets the key that all daemons share. Without a key, a client sends none,
// and a server accepts every call that reaches its listener.
func WithKey(key string) Option { return func(c *config) { c.key = key } }

// WithMaxMessageBytes limits the size of a request or reply to n bytes.
func WithMaxMessageBytes(n int64) Option { return func(c *config) { c.maxMessageBytes = n } }

// WithMaxConnections limits a client to n connections per daemon.
func WithMaxConnections(n int) Option { return func(c *config) { c.maxConnections = n } }
