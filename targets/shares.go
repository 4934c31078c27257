package targets

import "time"

const (
	// minServedShare is the share of its calls that a priority gets sent at least,
	// as a fraction of the share of all calls.
	minServedShare = 0.25
	// sharePeriod is the time after which the counts are halved.
	sharePeriod = 5 * time.Second
)

// priorityShares counts the calls of each priority that arrive and that are sent, so
// that urgent calls come first without starving the others. The group's lock guards
// it.
type priorityShares struct {
	counts   map[int]*served
	all      served
	halvedAt time.Time
}

type served struct{ arrived, sent float64 }

func (s *served) share() float64 { return s.sent / max(s.arrived, 1) }

func (p *priorityShares) arrive(priority int, now time.Time) {
	if now.Sub(p.halvedAt) > sharePeriod {
		p.halvedAt = now
		p.all = served{p.all.arrived / 2, p.all.sent / 2}
		for k, s := range p.counts {
			if *s = (served{s.arrived / 2, s.sent / 2}); s.arrived < 1 {
				delete(p.counts, k)
			}
		}
	}
	s := p.counts[priority]
	if s == nil {
		if p.counts == nil || len(p.counts) >= maxLevels {
			p.counts = make(map[int]*served)
		}
		s = &served{}
		p.counts[priority] = s
	}
	s.arrived++
	p.all.arrived++
}

func (p *priorityShares) send(priority int) {
	if s := p.counts[priority]; s != nil {
		s.sent++
		p.all.sent++
	}
}

// isStarved reports whether so few calls of a priority were sent that its next one
// goes before more urgent ones.
func (p *priorityShares) isStarved(priority int) bool {
	s := p.counts[priority]
	return s != nil && s.share() < minServedShare*p.all.share()
}

// promote moves the first waiting call of a priority that is starved to the front.
func (p *priorityShares) promote(waiting []*Call) {
	for i := 1; i < len(waiting); i++ {
		if waiting[i].priority != waiting[i-1].priority && waiting[i].predicted != nil && p.isStarved(waiting[i].priority) {
			c := waiting[i]
			copy(waiting[1:i+1], waiting[:i])
			waiting[0] = c
			return
		}
	}
}
