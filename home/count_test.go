package home

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"medlaryard.example/medlaryard/meter"
)

// retried returns the sum of the counters of retries.
func retried() int64 {
	var n int64
	metrics.DefaultRegistry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok && strings.HasPrefix(name, "home.retried.") {
			n += c.Count()
		}
	})
	return n
}

// Guards against counters that do not show the load on the searchers: sends
// that are not counted, or hedges and retries that were never written.
func TestSendsAreCounted(t *testing.T) {
	sent, hedges, retries := meter.Value("home.sent"), meter.Value("home.hedge.sent"), retried()
	y := newFailing(1, 0.1, 0)
	y.fakes["s00-0"].slow = 10
	y.load(0.3, 10*time.Second)
	y.c.run(2 * time.Second)
	ran := 0
	for _, f := range y.fakes {
		ran += f.ran
	}
	_, extra := y.counts()
	sent, hedges, retries = meter.Value("home.sent")-sent, meter.Value("home.hedge.sent")-hedges, retried()-retries
	if int(sent) != ran || hedges == 0 || retries == 0 || hedges+retries != extra {
		t.Errorf("%d sends counted, %d ran; %d hedges and %d retries counted, %d tokens spent", sent, ran, hedges, retries, extra)
	}
}
