package node

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// templateFigure is a figure that the template of the deploy file takes from the platform.
type templateFigure struct {
	key  string                   // Of the settings file.
	unit float64                  // What the value counts, as the platform's page says.
	read func(s Settings) float64 // The setting in force, in units of 1.
	low  float64                  // Smallest value that is accepted.
	high float64                  // Values up to it are tried.
}

func seconds(d time.Duration) float64 { return d.Seconds() }

// templateFigures holds all placeholders of deploy/settings.yaml that take figures.
var templateFigures = map[string]templateFigure{
	"limits.cpu_share":          {"capacity", 1, Settings.Capacity, 0, 64},
	"limits.memory_mb":          {"memory_mb", 1e6, func(s Settings) float64 { return float64(s.Memory()) }, 64, 64_000},
	"limits.max_fds":            {"max_fds", 1, func(s Settings) float64 { return float64(s.MaxFDs()) }, 300, 1 << 20},
	"bounds.grace_s":            {"shutdown_s", 1, func(s Settings) float64 { return seconds(s.ShutdownTimeout()) }, 0.1, 3600},
	"bounds.retry_budget_ratio": {"extra_sends.ratio", 1, Settings.ExtraRatio, 0, 10},
	"bounds.retry_budget_slack": {"extra_sends.slack", 1, Settings.ExtraSlack, 0, 10_000},
	"bounds.warmup_overshoot":   {"cold_targets.overshoot", 1, Settings.ColdOvershoot, 0.01, 10},
	"bounds.warmup_slack":       {"cold_targets.slack", 1, Settings.ColdSlack, 0, 1000},
	"bounds.report_window_s":    {"usage.window_s", 1, func(s Settings) float64 { return seconds(s.file.Usage.window()) }, 0.1, 3600},
	"bounds.lease_ms":           {"usage.lease_ms", 1e-3, func(s Settings) float64 { return seconds(s.file.Usage.lease()) }, 500, 1e6},
	"bounds.usage_late_s":       {"usage.late_s", 1, func(s Settings) float64 { return seconds(s.file.Usage.lateness()) }, 0.01, 3600},
	"cloud_api.duty_per_s":      {"usage.calls_per_s", 1, func(s Settings) float64 { return s.file.Usage.callsPerSecond() }, 1, 1000},
}

var (
	placeholder      = regexp.MustCompile(`\{\{[^{}]*\}\}`)
	templateSections = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}.*?\{\{/\w+\}\}`)
	figureName       = regexp.MustCompile(`\{\{((?:bounds|limits)\.\w+|cloud_api\.duty_per_s)\}\}`)
)

// fillIn fills in deploy/settings.yaml as the platform does, with the given values of
// figures.
func fillIn(template string, values map[string]string) string {
	text := strings.ReplaceAll(template, "{{#cloud_api.address}}\n", "")
	text = strings.ReplaceAll(text, "{{/cloud_api.address}}\n", "")
	text = strings.ReplaceAll(text, "{{cloud_api.duties}}", "")
	text = templateSections.ReplaceAllString(text, "")
	text = strings.ReplaceAll(text, "{{ip}}:{{internal_port_range.0}}", "10.1.0.9:7380")
	return placeholder.ReplaceAllStringFunc(text, func(p string) string {
		name := strings.Trim(p, "{}")
		switch {
		case values[name] != "":
			return values[name]
		case strings.HasPrefix(name, "listen_addrs.") || strings.HasSuffix(name, ".address"):
			return "10.1.0.9:8100"
		case figureName.MatchString(p):
			return "" // No value.
		}
		return "x"
	})
}

// Guards against a figure of the platform that the template, the check or the start cuts to
// another size: each is kept to its unit, whole or a fraction, or refused with its name.
// MEDLARYARD_MODEL_ORDERS sets the number of values.
func TestFiguresOfTheTemplate(t *testing.T) {
	text, err := os.ReadFile("../deploy/settings.yaml")
	if err != nil {
		t.Fatal(err)
	}
	template := string(text)
	named := make(map[string]bool)
	for _, m := range figureName.FindAllStringSubmatch(template, -1) {
		named[m[1]] = true
	}
	listed := make(map[string]bool)
	for name := range templateFigures {
		listed[name] = true
	}
	if diff := cmp.Diff(listed, named); diff != "" {
		t.Fatalf("figures of the template (-listed here +named there):\n%s", diff)
	}
	n := 600
	if s := os.Getenv("MEDLARYARD_MODEL_ORDERS"); s != "" {
		if n, err = strconv.Atoi(s); err != nil {
			t.Fatal(err)
		}
	}
	rng := rand.New(rand.NewPCG(52, 13))
	faults, kept, refused := make(map[string][]string), 0, 0
	for i := range n {
		for name, f := range templateFigures {
			resolution := 1e-8 // Durations are kept to the nanosecond.
			if name == "limits.memory_mb" {
				resolution = 0.5 // Bytes.
			}
			value := randomFigure(rng, i, f)
			s, err := DecodeSettings("test", []byte(fillIn(template, map[string]string{name: value})))
			want, parseErr := strconv.ParseFloat(value, 64)
			fault := ""
			switch {
			case err != nil && !strings.Contains(err.Error(), f.key[strings.LastIndexByte(f.key, '.')+1:]):
				fault = fmt.Sprintf("%s: refused without its name: %v", value, err)
			case err != nil && parseErr == nil && !math.IsNaN(want) && want >= f.low && want <= f.high && (want == math.Trunc(want) || f.key != "max_fds"):
				fault = fmt.Sprintf("%s: refused: %v", value, err)
			case err != nil:
				refused++
			case parseErr != nil || math.IsNaN(want) || want < 0:
				fault = fmt.Sprintf("%s: taken for %v", value, f.read(s))
			case want > 0 && math.Abs(f.read(s)-want*f.unit) > resolution+1e-9*want*f.unit:
				fault = fmt.Sprintf("%s: taken for %v", value, f.read(s)/f.unit)
			default:
				kept++
			}
			if fault != "" && len(faults[name]) < 3 {
				faults[name] = append(faults[name], fault)
			}
		}
	}
	t.Logf("%d values kept, %d refused", kept, refused)
	if diff := cmp.Diff(map[string][]string{}, faults); diff != "" {
		t.Errorf("figures that are cut or refused wrongly (-want +got):\n%s", diff)
	}
}

// randomFigure returns a value of a figure as a text: mostly numbers in its range, in several
// forms, and some that are none.
func randomFigure(rng *rand.Rand, i int, f templateFigure) string {
	v := f.low + rng.Float64()*(f.high-f.low)
	switch i % 8 {
	case 0:
		return strconv.Itoa(int(math.Ceil(v)))
	case 1:
		return strconv.FormatFloat(math.Ceil(v), 'f', 1, 64)
	case 2:
		return strconv.FormatFloat(math.Floor(v)+0.5, 'f', 1+rng.IntN(4), 64)
	case 3:
		return strconv.FormatFloat(v, 'f', 3, 64)
	case 4:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case 5:
		return "-" + strconv.FormatFloat(v+1, 'f', 1, 64)
	case 6:
		return strconv.FormatFloat(v*1e-6, 'f', 9, 64)
	}
	return []string{"true", "false", `"fast"`, "[1]", ".nan", ".inf", "1e300", `"6.5"`, "6,5", "6.5s"}[rng.IntN(10)]
}

// Guards against two keys for one time of which one is ignored, and against a shutdown that
// is over before anybody is told.
func TestShutdownSettings(t *testing.T) {
	for _, c := range []struct {
		lines string
		want  time.Duration
		fault string
	}{
		{"", 6 * time.Second, ""},
		{", shutdown_s: 6.5", 6500 * time.Millisecond, ""},
		{", shutdown_ms: 6500", 6500 * time.Millisecond, ""},
		{", shutdown_ms: 6.5000", 0, "shutdown_ms: 6.5"},
		{", shutdown_s: 0.05", 0, "shutdown_s: 0.05"},
		{", shutdown_s: -1", 0, "shutdown_s: -1"},
		{", shutdown_s: 6, shutdown_ms: 6000", 0, "shutdown_ms and shutdown_s"},
	} {
		s, err := DecodeSettings("test", []byte(strings.Replace(validSettings, "%s", c.lines, 1)))
		switch {
		case c.fault != "":
			if err == nil || !strings.Contains(err.Error(), c.fault) {
				t.Errorf("%q: error %v, want %q", c.lines, err, c.fault)
			}
		case err != nil || s.ShutdownTimeout() != c.want:
			t.Errorf("%q: %v, error %v, want %v", c.lines, s.ShutdownTimeout(), err, c.want)
		}
	}
}
