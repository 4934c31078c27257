package move

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// windowLength is the length of an interval of recent evidence. Recent evidence is
// evaluated apart from the whole step, so that a long period without faults does
// not dilute a fault that appears late.
const windowLength = 15 * time.Second

// window collects the evidence of a move over the whole step and over the recent
// past.
type window struct {
	wholeStep *routeSamples
	current   *routeSamples // Since rotatedAt.
	previous  *routeSamples // The interval before rotatedAt and the time since.
	rotatedAt time.Duration // Boot time.
}

func newWindow(now time.Duration) *window {
	return &window{wholeStep: newRouteSamples(), current: newRouteSamples(), previous: newRouteSamples(), rotatedAt: now}
}

func (w *window) add(m *catalogue.Move, version, route string, s *Sample, now time.Duration) {
	if now-w.rotatedAt >= windowLength {
		w.previous, w.current, w.rotatedAt = w.current, newRouteSamples(), now
	}
	w.wholeStep.add(m, version, route, s)
	w.current.add(m, version, route, s)
	w.previous.add(m, version, route, s)
}

func (w *window) fault(g Guard) string {
	if f := w.wholeStep.fault(g); f != "" {
		return f
	}
	return w.previous.fault(g)
}
