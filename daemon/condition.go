package daemon

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/cell"
	"medlaryard.example/medlaryard/meter"
)

// startupGrace is the time after the start during which a daemon that has not
// reached the store or a peer does not count as isolated.
const startupGrace = 3 * time.Second

// condition logs and counts the start and the end of an exceptional state, in the
// counters daemon.<name>.began and daemon.<name>.ended.
type condition struct {
	name         string
	began, ended string // Log messages.
	since        time.Duration
	active       bool
}

// observe records whether the condition is active at now, a reading of
// clock.Clock.Boot.
func (c *condition) observe(l zerolog.Logger, now time.Duration, active bool) {
	switch {
	case active == c.active:
		return
	case active:
		c.since = now
		meter.Count("daemon."+c.name+".began", 1)
		l.Warn().Msg(c.began)
	default:
		meter.Count("daemon."+c.name+".ended", 1)
		l.Info().Dur("took", now-c.since).Msg(c.ended)
	}
	c.active = active
}

// conditions tracks the exceptional states of a daemon in its cell. It is not safe
// for concurrent use.
type conditions struct {
	log        func() zerolog.Logger
	started    time.Duration // Reading of clock.Clock.Boot.
	standstill condition
	isolation  condition
}

func newConditions(started time.Duration) *conditions {
	return &conditions{
		log:     func() zerolog.Logger { return log.Logger },
		started: started,
		standstill: condition{
			name:  "standstill",
			began: "standstill began: no keeper grants leases; homes continue on leases from a majority of the members",
			ended: "standstill ended: a keeper grants leases",
		},
		isolation: condition{
			name:  "isolation",
			began: "isolation began: neither the store nor any peer answers",
			ended: "isolation ended: the store or a peer answers",
		},
	}
}

func (c *conditions) observe(now time.Duration, s cell.Status) {
	l := c.log().With().Str("cell", s.Cell).Uint64("epoch", s.Epoch).Uint64("generation", s.GenerationInForce).Logger()
	c.standstill.observe(l, now, s.Standstill)
	c.isolation.observe(l, now, s.Isolated && (c.isolation.active || now-c.started >= startupGrace))
}
