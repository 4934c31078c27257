package move

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// windowLength is the time over which recent evidence is judged apart from the
// whole step, so that a fault that appears late is not diluted by a long good
// start.
const windowLength = 15 * time.Second

// window judges a move over the whole step and over the recent past. The recent
// past is the current and the previous interval of windowLength.
type window struct {
	whole    *tally
	current  *tally
	previous *tally
	turned   time.Duration
}

func newWindow(now time.Duration) *window {
	return &window{whole: newTally(), current: newTally(), previous: newTally(), turned: now}
}

func (w *window) add(m *catalogue.Move, version, route string, s *Sample, now time.Duration) {
	if now-w.turned >= windowLength {
		w.previous, w.current, w.turned = w.current, newTally(), now
	}
	w.whole.add(m, version, route, s)
	w.current.add(m, version, route, s)
	w.previous.add(m, version, route, s)
}

func (w *window) fault(g Guard) string {
	if f := w.whole.fault(g); f != "" {
		return f
	}
	return w.previous.fault(g)
}
