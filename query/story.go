package query

import (
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/targets"
)

// decision is one decision about a request, for the log.
type decision struct {
	at     time.Duration // Since the request arrived.
	what   string
	shard  string
	target string
	cause  string
}

// maxDecisions bounds what is kept of one request.
const maxDecisions = 48

// note keeps a decision. It is logged only if the request turns out to be worth
// explaining.
func (r *run) note(what, shard, target, cause string) {
	if len(r.story) < maxDecisions {
		r.story = append(r.story, decision{r.clock.Now().Sub(r.started), what, shard, target, cause})
	}
}

// noteResult keeps how a call ended, unless it was answered.
func (r *run) noteResult(p *part, c *targets.Call) {
	if c.Outcome() != targets.Answered {
		r.note(string(c.Outcome()), p.service, c.TargetID(), c.Reason())
	}
}

// noteSilent keeps the calls that are still open when the answer is given.
func (r *run) noteSilent(parts []*part) {
	for _, p := range parts {
		if p.answer != nil || p.group == nil {
			continue
		}
		if p.deferred {
			r.note("deferred", p.service, "", "an answer was to be expected after "+p.expected.Round(time.Millisecond).String())
			continue
		}
		if len(p.calls) == 0 {
			r.note("not sent", p.service, "", "no target of the shard accepts connections")
		}
		for _, c := range p.calls {
			if id, sent, open := p.group.Assignment(c); open {
				r.note("silent", p.service, id, "no answer for "+r.clock.Now().Sub(sent).Round(time.Millisecond).String())
			}
		}
	}
}

// tell logs the decisions about a request.
func (r *run) tell(l *zerolog.Logger) {
	for _, d := range r.story {
		l.Info().Str("request", r.send.ID()).Dur("at", d.at).Str("decision", d.what).
			Str("shard", d.shard).Str("target", d.target).Str("cause", d.cause).Msg("decision")
	}
}
