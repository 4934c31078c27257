package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog/log"
)

// Name identifies one invariant in counters and logs.
type Name string

// Violation is the value with which a violated invariant panics. Handlers that
// recover from panics pass it on.
type Violation string

var panicOnViolation atomic.Bool

// PanicOnViolation makes every violation panic. Test binaries call it in TestMain or init.
// Randomised runs enable it through the daemon's environment.
func PanicOnViolation() { panicOnViolation.Store(true) }

// Check returns ok. If ok is false, it counts a violation of the invariant and logs it
// or, after PanicOnViolation, panics. format and args describe the violating state.
func Check(name Name, ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	metrics.GetOrRegisterCounter("invariant."+string(name), metrics.DefaultRegistry).Inc(1)
	detail := fmt.Sprintf(format, args...)
	if panicOnViolation.Load() {
		panic(Violation("invariant " + string(name) + ": " + detail))
	}
	log.Error().Str("invariant", string(name)).Str("detail", detail).Msg("invariant violated")
	return false
}

// Violations returns the number of violations of the invariant so far.
func Violations(name Name) int64 {
	return metrics.GetOrRegisterCounter("invariant."+string(name), metrics.DefaultRegistry).Count()
}
