package home

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"medlaryard.example/medlaryard/meter"
)

// retryCount returns the sum of the home.retried counters.
func retryCount() int64 {
	var n int64
	metrics.DefaultRegistry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok && strings.HasPrefix(name, "home.retried.") {
			n += c.Count()
		}
	})
	return n
}

// Guards against counters that do not show the load on the searchers: sends
// that are not counted, and hedges or retries that are counted although they
// were cancelled before their first byte.
func TestSendCounters(t *testing.T) {
	sent, hedges, retries := meter.CounterValue("home.sent"), meter.CounterValue("home.hedge.sent"), retryCount()
	fx := newErrorFixture(1, 0.1, 0)
	fx.fakes["s00-0"].slowdown = 10
	fx.load(0.3, 10*time.Second)
	fx.clk.run(2 * time.Second)
	ran := 0
	for _, f := range fx.fakes {
		ran += f.ran
	}
	_, extra := fx.budgetTotals()
	sent, hedges, retries = meter.CounterValue("home.sent")-sent, meter.CounterValue("home.hedge.sent")-hedges, retryCount()-retries
	if int(sent) != ran || hedges == 0 || retries == 0 || hedges+retries != extra {
		t.Errorf("%d sends counted, %d ran; %d hedges and %d retries counted, %d tokens spent", sent, ran, hedges, retries, extra)
	}
}
