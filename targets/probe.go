package targets

import (
	"bufio"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/readbudget"
	"medlaryard.example/medlaryard/response"
)

const (
	// probeTimeout bounds a probe. Pauses of targets last up to 250 ms.
	probeTimeout = 400 * time.Millisecond
	// probeWait is the usual time until a probe is answered.
	probeWait = 20 * time.Millisecond
	// maxProbeBytes bounds the body of the answer to a probe.
	maxProbeBytes = 64 << 10
)

// probeResult is what a target's answer to a probe shows.
type probeResult struct {
	coldFor  time.Duration
	answered bool // The target answered at all.
}

// canProbe reports whether targets state how long they are cold.
func (g *Group) canProbe() bool {
	return g.coldLimits.rate > 0 && g.coldLimits.warmUp > 0 && g.coldLimits.probe != ""
}

// needsProbe reports whether a new connection to t is used for a probe.
func (g *Group) needsProbe(t *Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.canProbe():
		t.doubt = noDoubt // The limits have changed since it was put in doubt.
	case t.absence == silent:
		g.putInDoubt(t)
	}
	return t.doubt == unresolved && t.absence != stopped && !t.removed
}

// probe asks a target how long it is cold, over a connection of its own: the answer
// names no request, so a late second copy of it could not be told from the next
// answer.
func (g *Group) probe(t *Target, nc net.Conn) probeResult {
	g.mu.Lock()
	path := g.coldLimits.probe
	g.mu.Unlock()
	meter.Count("target.probed", 1)
	resp := fasthttp.AcquireResponse()
	err := nc.SetDeadline(time.Now().Add(probeTimeout))
	if err == nil {
		_, err = nc.Write(g.protocol.AppendProbe(nil, path, t.address, t.id))
	}
	limits := readbudget.NewReader(nc, g.readBudget)
	defer limits.EndAnswer()
	if err == nil {
		err = response.Read(resp, bufio.NewReaderSize(limits, readBufferBytes), maxProbeBytes)
	}
	defer readbudget.Release(resp, err)
	if err != nil {
		return probeResult{}
	}
	coldFor, _ := g.protocol.ProbeAnswer(resp, t.id)
	return probeResult{coldFor: coldFor, answered: true}
}

// handleProbe ends the doubt about a target. One that does not answer counts as cold
// for its whole warm-up; one that refuses the probe, because it is full or leaves,
// does not.
func (g *Group) handleProbe(t *Target, r probeResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.doubt, t.absence = noDoubt, listening
	if !r.answered {
		r.coldFor = g.coldLimits.warmUp
	}
	g.recordRestart(t, g.clock.Now(), r.coldFor)
}
