package node

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/platform"
)

// usageSettings is the section "usage" of the settings file. Without it, requests
// are not counted and not reported.
type usageSettings struct {
	Address        string `yaml:"address"`
	Duties         string `yaml:"duties"` // Duties that the API accepts, separated by commas; empty if not stated.
	WindowS        figure `yaml:"window_s"`
	LeaseMS        figure `yaml:"lease_ms"`
	LateS          figure `yaml:"late_s"`
	CallsPerSecond figure `yaml:"calls_per_s"`
}

const (
	defaultUsageWindow         = 5 * time.Second
	defaultUsageLease          = 3 * time.Second
	defaultUsageLateness       = 10 * time.Second
	defaultUsageCallsPerSecond = 50
	// minUsageLease is far above the time of a call to the store.
	minUsageLease = 500 * time.Millisecond
	// minUsageWindow is the shortest window that is meaningful, since daemons differ
	// by some milliseconds in when a window ends.
	minUsageWindow = 100 * time.Millisecond
	// minUsageCallsPerSecond permits one report for each of the shortest windows.
	minUsageCallsPerSecond = 1.0
)

func (u *usageSettings) check() error {
	if u == nil {
		return nil
	}
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		return eris.Errorf("usage.address: %q is not an IP address with a port", u.Address)
	}
	if w := u.WindowS.value; w != 0 && w < minUsageWindow.Seconds() {
		return eris.Errorf("usage.window_s: %v is not between %v and %v", w, minUsageWindow.Seconds(), maxTimeS)
	}
	if ms := u.LeaseMS.value; ms != 0 && u.LeaseMS.in(time.Millisecond) < minUsageLease {
		return eris.Errorf("usage.lease_ms: %v is not between %d and %d", ms, minUsageLease.Milliseconds(), maxTimeMS)
	}
	if s := u.LateS.value; s < 0 {
		return eris.Errorf("usage.late_s: %v is not between 0 and %v", s, maxTimeS)
	}
	if n := u.CallsPerSecond.value; n != 0 && n < minUsageCallsPerSecond {
		return eris.Errorf("usage.calls_per_s: %v is less than %v", n, minUsageCallsPerSecond)
	}
	return nil
}

// enabled reports whether usage is reported. A cloud API may accept other duties
// only.
func (u *usageSettings) enabled() bool {
	if u == nil {
		return false
	}
	return u.Duties == "" || slices.ContainsFunc(strings.Split(u.Duties, ","), func(duty string) bool {
		return strings.TrimSpace(duty) == platform.DutyUsage
	})
}

// window returns the length of a window.
func (u *usageSettings) window() time.Duration {
	return orDefault(u.WindowS.in(time.Second), defaultUsageWindow)
}

// lease returns the time that a new reporting daemon waits before its first
// report.
func (u *usageSettings) lease() time.Duration {
	return orDefault(u.LeaseMS.in(time.Millisecond), defaultUsageLease)
}

// lateness returns the time after the end of a window at which its report is due.
func (u *usageSettings) lateness() time.Duration {
	return orDefault(u.LateS.in(time.Second), defaultUsageLateness)
}

// callsPerSecond returns the number of calls that the cloud API accepts from all
// daemons together.
func (u *usageSettings) callsPerSecond() float64 {
	if u.CallsPerSecond.value == 0 {
		return defaultUsageCallsPerSecond
	}
	return u.CallsPerSecond.value
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}
