package query

import (
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/targets"
)

// decision is one decision about a request, for the log.
type decision struct {
	at         time.Duration // Since the request arrived.
	name       string
	shard      string
	target     string
	cause      string
	connection int // Number of the connection to the target; 0 if it is not known.
}

// maxDecisions bounds the decisions recorded for one request.
const maxDecisions = 48

// recordDecision stores a decision, to be logged if the outcome of the request
// is logged.
func (r *run) recordDecision(name, shard, target, cause string) {
	r.addDecision(decision{name: name, shard: shard, target: target, cause: cause})
}

func (r *run) addDecision(d decision) {
	if len(r.decisions) < maxDecisions {
		d.at = r.clock.Now().Sub(r.started)
		r.decisions = append(r.decisions, d)
	}
}

// recordFailure records the outcome of a call as a decision, unless the call
// was answered.
func (r *run) recordFailure(p *part, c *targets.Call) {
	if c.Outcome() != targets.Answered {
		r.addDecision(decision{name: string(c.Outcome()), shard: p.service, target: c.TargetID(), cause: c.Reason(), connection: c.Connection()})
	}
}

// recordUnanswered records the parts without an answer: deferred parts, parts
// that were not sent and calls that are still unanswered.
func (r *run) recordUnanswered(parts []*part) {
	for _, p := range parts {
		if p.answer != nil || p.group == nil {
			continue
		}
		if p.deferred {
			r.recordDecision("deferred", p.service, "", "expected latency of the shard: "+p.expectedLatency.Round(time.Millisecond).String())
			continue
		}
		if len(p.calls) == 0 {
			r.recordDecision("not sent", p.service, "", "no target of the shard accepts connections")
		}
		for _, c := range p.calls {
			if id, sent, open := p.group.Assignment(c); open {
				r.recordDecision("silent", p.service, id, "no answer for "+r.clock.Now().Sub(sent).Round(time.Millisecond).String())
			}
		}
	}
}

// logDecisions logs the decisions about a request.
func (r *run) logDecisions(l *zerolog.Logger) {
	for _, d := range r.decisions {
		l.Info().Str("request", r.request.ID()).Dur("at", d.at).Str("decision", d.name).
			Str("shard", d.shard).Str("target", d.target).Str("cause", d.cause).Int("connection", d.connection).Msg("decision")
	}
}
