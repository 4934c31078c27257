package daemon

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/cell"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/standin/objects"
)

// Guards against a standstill or an isolation without a log line and a counter,
// against a line for every observation, and against reporting isolation of a daemon
// that has just started.
func TestConditionLogging(t *testing.T) {
	var out bytes.Buffer
	c := newConditions(time.Minute)
	c.log = func() zerolog.Logger { return zerolog.New(&out) }
	counters := []string{"standstill.began", "standstill.ended", "isolation.began", "isolation.ended"}
	before := make(map[string]int64)
	for _, name := range counters {
		before[name] = meter.CounterValue("daemon." + name)
	}
	for _, step := range []struct {
		after      time.Duration // Since the start.
		standstill bool
		isolated   bool
		want       string
	}{
		{0, false, true, ""},
		{time.Second, false, false, ""},
		{5 * time.Second, true, false, "standstill began"},
		{6 * time.Second, true, false, ""},
		{7 * time.Second, true, true, "isolation began"},
		{8 * time.Second, false, true, "standstill ended"},
		{9 * time.Second, false, true, ""},
		{10 * time.Second, false, false, "isolation ended"},
		{11 * time.Second, true, false, "standstill began"},
	} {
		out.Reset()
		c.observe(time.Minute+step.after, cell.Status{Standstill: step.standstill, Isolated: step.isolated})
		lines := strings.Count(out.String(), "\n")
		if step.want == "" && lines != 0 || step.want != "" && (lines != 1 || !strings.Contains(out.String(), step.want)) {
			t.Errorf("after %v: log %q, want %q", step.after, out.String(), step.want)
		}
	}
	for _, name := range counters {
		want := int64(1)
		if name == "standstill.began" {
			want = 2
		}
		if n := meter.CounterValue("daemon."+name) - before[name]; n != want {
			t.Errorf("counter %s grew by %d, want %d", name, n, want)
		}
	}
}

// Guards against a daemon that does not observe its conditions.
func TestDaemonCountsIsolation(t *testing.T) {
	f := newFixture(t, 1)
	f.waitReady()
	began, ended := meter.CounterValue("daemon.isolation.began"), meter.CounterValue("daemon.isolation.ended")
	f.store.SetFaults(objects.Faults{Outage: true})
	f.waitFor("begin of isolation", func() bool { return meter.CounterValue("daemon.isolation.began") == began+1 })
	f.store.SetFaults(objects.Faults{})
	f.waitFor("end of isolation", func() bool { return meter.CounterValue("daemon.isolation.ended") == ended+1 })
}
