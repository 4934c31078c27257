package daemon

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/meter"
)

// Guards against a burst of lines that fills the log, against dropping lines of
// another level during the burst, and against dropped lines that are not counted.
func TestLogRateLimit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var out bytes.Buffer
	l := zerolog.New(&out).Sample(newLineSampler(func() time.Time { return now }))
	dropped := meter.CounterValue("log.dropped.warn")
	for range 1000 {
		l.Warn().Str("service", "songs").Msg("storm")
	}
	l.Error().Msg("rare")
	now = now.Add(time.Second)
	l.Warn().Msg("later")
	lines := make(map[string]int)
	dec := json.NewDecoder(&out)
	for dec.More() {
		var line struct{ Message string }
		if err := dec.Decode(&line); err != nil {
			t.Fatal(err)
		}
		lines[line.Message]++
	}
	if lines["storm"] != linesPerSecond || lines["rare"] != 1 || lines["later"] != 1 {
		t.Errorf("got lines %v, want %d of storm, 1 of rare, 1 of later", lines, linesPerSecond)
	}
	if n := meter.CounterValue("log.dropped.warn") - dropped; n != 1000-linesPerSecond {
		t.Errorf("%d lines counted as dropped, want %d", n, 1000-linesPerSecond)
	}
}
