package daemon

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/cell"
	"medlaryard.example/medlaryard/meter"
)

// startTime is the time after the start in which a daemon that has not reached
// anything yet is starting, not isolated.
const startTime = 3 * time.Second

// condition logs and counts the begin and the end of an exceptional state. The
// counters are daemon.<name>.began and daemon.<name>.ended.
type condition struct {
	name         string
	began, ended string // Log messages.
	since        time.Duration
	holds        bool
}

// observe takes in whether the condition holds at now, a reading of
// clock.Clock.Boot.
func (c *condition) observe(l zerolog.Logger, now time.Duration, holds bool) {
	switch {
	case holds == c.holds:
		return
	case holds:
		c.since = now
		meter.Count("daemon."+c.name+".began", 1)
		l.Warn().Msg(c.began)
	default:
		meter.Count("daemon."+c.name+".ended", 1)
		l.Info().Dur("took", now-c.since).Msg(c.ended)
	}
	c.holds = holds
}

// conditions are the exceptional states of a daemon in its cell. Only one
// goroutine observes them.
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
			began: "standstill began: no keeper grants leases, homes go on by the majority of the members",
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
	l := c.log().With().Str("cell", s.Cell).Uint64("epoch", s.Epoch).Uint64("generation", s.InForce).Logger()
	c.standstill.observe(l, now, s.Standstill)
	c.isolation.observe(l, now, s.Isolated && (c.isolation.holds || now-c.started >= startTime))
}
