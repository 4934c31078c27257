package node

import (
	"fmt"
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// figure is a number of the settings file, whole or a fraction. Decoding accepts any value;
// check refuses what is no number, with the name of its key.
type figure struct {
	value float64
	fault string // What was found in place of a number.
}

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (f *figure) UnmarshalYAML(unmarshal func(any) error) error {
	var v any
	if err := unmarshal(&v); err != nil {
		return err
	}
	switch n := v.(type) {
	case nil: // The default applies.
	case int:
		f.value = float64(n)
	case int64:
		f.value = float64(n)
	case uint64:
		f.value = float64(n)
	case float64:
		f.value = n
	default:
		f.fault = fmt.Sprintf("%v", v)
	}
	return nil
}

// in returns the figure as a duration in the given unit.
func (f figure) in(unit time.Duration) time.Duration {
	return time.Duration(math.Round(f.value * float64(unit)))
}

// namedFigure is a figure with what it may be.
type namedFigure struct {
	key   string
	value *figure
	whole bool    // It counts things.
	limit float64 // The largest value; its computations hold it.
}

const (
	maxTimeMS = 24 * 60 * 60 * 1000
	maxTimeS  = maxTimeMS / 1000
	// maxCount and maxAmount bound what has no other unit.
	maxCount  = 1 << 31
	maxAmount = 1e9
)

// figures returns all figures of the file.
func (f *settingsFile) figures() []namedFigure {
	all := []namedFigure{
		{"capacity", &f.Capacity, false, maxAmount},
		{"address_ttl_ms", &f.AddressTTLMS, false, maxTimeMS},
		{"shutdown_ms", &f.ShutdownMS, false, maxTimeMS},
		{"shutdown_s", &f.ShutdownS, false, maxTimeS},
		{"extra_sends.ratio", &f.Extra.Ratio, false, maxAmount},
		{"extra_sends.slack", &f.Extra.Slack, false, maxAmount},
		{"cold_targets.overshoot", &f.Cold.Overshoot, false, maxAmount},
		{"cold_targets.slack", &f.Cold.Slack, false, maxAmount},
		{"memory_mb", &f.MemoryMB, false, maxAmount},
		{"max_fds", &f.MaxFDs, true, maxCount},
		{"clients.stall_ms", &f.Clients.StallMS, false, maxTimeMS},
		{"clients.min_bytes_per_s", &f.Clients.MinBytesPerS, true, maxCount},
		{"clients.accept_per_s", &f.Clients.AcceptPerS, false, maxCount},
	}
	if u := f.Usage; u != nil {
		all = append(all, []namedFigure{
			{"usage.window_s", &u.WindowS, false, maxTimeS},
			{"usage.lease_ms", &u.LeaseMS, false, maxTimeMS},
			{"usage.late_s", &u.LateS, false, maxTimeS},
			{"usage.calls_per_s", &u.CallsPerSecond, false, maxAmount},
		}...)
	}
	return all
}

// check returns an error that names the key if the figure is not what it may be.
func (n namedFigure) check() error {
	v := n.value.value
	switch {
	case n.value.fault != "":
		return eris.Errorf("%s: %q is not a number", n.key, n.value.fault)
	case math.IsNaN(v) || v > n.limit || v < -n.limit:
		return eris.Errorf("%s: %v is not a number up to %v", n.key, v, n.limit)
	case n.whole && v != math.Trunc(v):
		return eris.Errorf("%s: %v is not a whole number", n.key, v)
	}
	return nil
}
