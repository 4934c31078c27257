package node

import (
	"cmp"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/clientbudget"
)

// Settings are the settings of one daemon, read from a YAML file.
type Settings struct {
	file settingsFile
}

// settingsFile is the layout of the YAML file. Durations are in milliseconds.
type settingsFile struct {
	Name           string            `yaml:"name"`
	Domain         string            `yaml:"zone"`
	Region         string            `yaml:"region"`
	RegionByDomain map[string]string `yaml:"zones"`
	Listen         struct {
		Callers   string `yaml:"callers"`
		Ready     string `yaml:"ready"`
		Directory string `yaml:"directory"`
		Operators string `yaml:"operators"`
		Peers     string `yaml:"peers"`
	} `yaml:"listen"`
	Peers    []string `yaml:"peers"`
	Capacity figure   `yaml:"capacity"`
	Store    struct {
		Address string `yaml:"address"`
	} `yaml:"store"`
	AddressTTLMS figure `yaml:"address_ttl_ms"`
	ShutdownMS   figure `yaml:"shutdown_ms"`
	ShutdownS    figure `yaml:"shutdown_s"` // In place of ShutdownMS.
	Extra        struct {
		Ratio figure `yaml:"ratio"`
		Slack figure `yaml:"slack"`
	} `yaml:"extra_sends"`
	Cold struct {
		Overshoot figure `yaml:"overshoot"`
		Slack     figure `yaml:"slack"`
	} `yaml:"cold_targets"`
	Usage    *usageSettings `yaml:"usage"`
	LogLevel string         `yaml:"log_level"`
	MemoryMB figure         `yaml:"memory_mb"`
	MaxFDs   figure         `yaml:"max_fds"`
	Clients  struct {
		StallMS      figure `yaml:"stall_ms"`
		MinBytesPerS figure `yaml:"min_bytes_per_s"`
		AcceptPerS   figure `yaml:"accept_per_s"`
	} `yaml:"clients"`
	Placement string `yaml:"placement"`
}

const (
	defaultAddressTTL = time.Second
	defaultShutdown   = 6 * time.Second
	// minShutdown is the shortest time in which callers and peers can be told.
	minShutdown = 100 * time.Millisecond
	// defaultColdOvershoot limits a cold target to its warm-up rate.
	defaultColdOvershoot = 1.0
	// minMemoryMB is about twice what a daemon without load takes.
	minMemoryMB = 64
	// minFDs leaves descriptors for clients beside those reserved for files,
	// targets, the store and peers.
	minFDs = 300
	// placementLatency and placementCost are the values of placement.
	placementLatency = "latency"
	placementCost    = "cost"
)

// LoadSettings reads and validates the YAML file at path. Errors name the
// position or the key of the fault.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return DecodeSettings(path, text)
}

// DecodeSettings decodes and validates the YAML text of a settings file. Errors
// refer to the file by name.
func DecodeSettings(name string, text []byte) (Settings, error) {
	var s Settings
	if err := yaml.UnmarshalWithOptions(text, &s.file, yaml.Strict()); err != nil {
		return Settings{}, eris.Wrapf(err, "settings file %s", name)
	}
	if err := s.file.check(); err != nil {
		return Settings{}, eris.Wrapf(err, "settings file %s", name)
	}
	return s, nil
}

func (f *settingsFile) check() error {
	if f.Name == "" {
		return eris.New("name: must not be empty")
	}
	if f.Domain == "" {
		return eris.New("zone: must not be empty")
	}
	for _, a := range []struct{ path, address string }{
		{"listen.callers", f.Listen.Callers},
		{"listen.ready", f.Listen.Ready},
		{"listen.directory", f.Listen.Directory},
		{"listen.operators", f.Listen.Operators},
		{"listen.peers", f.Listen.Peers},
		{"store.address", f.Store.Address},
	} {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return eris.Errorf("%s: %q is not an IP address with a port", a.path, a.address)
		}
	}
	for i, p := range f.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return eris.Errorf("peers[%d]: %q is not an IP address with a port", i, p)
		}
	}
	for _, n := range f.figures() {
		if err := n.check(); err != nil {
			return err
		}
	}
	if f.Capacity.value < 0 {
		return eris.New("capacity: must not be negative")
	}
	if f.Extra.Ratio.value < 0 || f.Extra.Slack.value < 0 {
		return eris.New("extra_sends: ratio and slack must not be negative")
	}
	if f.Cold.Overshoot.value < 0 || f.Cold.Slack.value < 0 {
		return eris.New("cold_targets: overshoot and slack must not be negative")
	}
	if f.Placement != "" && f.Placement != placementLatency && f.Placement != placementCost {
		return eris.Errorf("placement: %q is neither %q nor %q", f.Placement, placementLatency, placementCost)
	}
	if f.AddressTTLMS.value < 0 {
		return eris.New("address_ttl_ms: must not be negative")
	}
	if err := f.checkShutdown(); err != nil {
		return err
	}
	if m := f.MemoryMB.value; m != 0 && m < minMemoryMB {
		return eris.Errorf("memory_mb: must be at least %d, or 0 if it is unknown", minMemoryMB)
	}
	if n := f.MaxFDs.value; n != 0 && n < minFDs {
		return eris.Errorf("max_fds: must be at least %d, or 0 if it is unknown", minFDs)
	}
	if f.Clients.StallMS.value < 0 || f.Clients.MinBytesPerS.value < 0 || f.Clients.AcceptPerS.value < 0 {
		return eris.New("clients: stall_ms, min_bytes_per_s and accept_per_s must not be negative")
	}
	return f.Usage.check()
}

// checkShutdown checks the time of a shutdown, which has one of two keys.
func (f *settingsFile) checkShutdown() error {
	if f.ShutdownMS.value != 0 && f.ShutdownS.value != 0 {
		return eris.New("shutdown_ms and shutdown_s: only one of them may be set")
	}
	for _, t := range []struct {
		key  string
		time figure
		unit time.Duration
	}{{"shutdown_ms", f.ShutdownMS, time.Millisecond}, {"shutdown_s", f.ShutdownS, time.Second}} {
		if t.time.value != 0 && t.time.in(t.unit) < minShutdown {
			return eris.Errorf("%s: %v is less than %v", t.key, t.time.value, minShutdown)
		}
	}
	return nil
}

// Name returns the daemon's name.
func (s Settings) Name() string { return s.file.Name }

// Domain returns the daemon's failure domain.
func (s Settings) Domain() string { return s.file.Domain }

// Region returns the daemon's region.
func (s Settings) Region() string { return s.file.Region }

// RegionOf returns the region of a failure domain, or "" if it is unknown.
func (s Settings) RegionOf(domain string) string { return s.file.RegionByDomain[domain] }

// CallersAddress returns the address of the callers' listener.
func (s Settings) CallersAddress() string { return s.file.Listen.Callers }

// ReadyAddress returns the address of the readiness check's listener.
func (s Settings) ReadyAddress() string { return s.file.Listen.Ready }

// DirectoryAddress returns the address of the listener at which callers look up
// daemon addresses.
func (s Settings) DirectoryAddress() string { return s.file.Listen.Directory }

// OperatorsAddress returns the address of the listener for metrics.
func (s Settings) OperatorsAddress() string { return s.file.Listen.Operators }

// PeerAddress returns this daemon's address for other daemons, used over TCP
// and UDP.
func (s Settings) PeerAddress() string { return s.file.Listen.Peers }

// Peers returns the addresses of the daemons to contact at the start, each with
// the port of the listener for metrics.
func (s Settings) Peers() []string { return s.file.Peers }

// Capacity returns the capacity of the VM in CPU cores, or 0 if it is unknown.
func (s Settings) Capacity() float64 { return s.file.Capacity.value }

// StoreAddress returns the address of the platform's store.
func (s Settings) StoreAddress() string { return s.file.Store.Address }

// AddressTTL returns how long callers may cache the addresses from the
// directory.
func (s Settings) AddressTTL() time.Duration {
	if s.file.AddressTTLMS.value == 0 {
		return defaultAddressTTL
	}
	return s.file.AddressTTLMS.in(time.Millisecond)
}

// ShutdownTimeout returns the time between SIGTERM and the kill of the process.
func (s Settings) ShutdownTimeout() time.Duration {
	if d := s.file.ShutdownMS.in(time.Millisecond) + s.file.ShutdownS.in(time.Second); d > 0 {
		return d
	}
	return defaultShutdown
}

// ExtraRatio returns the number of extra sends allowed per request, across all
// daemons.
func (s Settings) ExtraRatio() float64 { return s.file.Extra.Ratio.value }

// ExtraSlack returns the number of extra sends allowed in addition to the
// ratio.
func (s Settings) ExtraSlack() float64 { return s.file.Extra.Slack.value }

// ColdOvershoot returns the load that a cold target accepts within one second
// from all daemons, as a multiple of its warm-up rate.
func (s Settings) ColdOvershoot() float64 {
	if s.file.Cold.Overshoot.value == 0 {
		return defaultColdOvershoot
	}
	return s.file.Cold.Overshoot.value
}

// ColdSlack returns the number of requests allowed to a cold target in addition
// to the load of ColdOvershoot.
func (s Settings) ColdSlack() float64 { return s.file.Cold.Slack.value }

// LogLevel returns the minimum severity of logged messages, or "" for the
// default.
func (s Settings) LogLevel() string { return s.file.LogLevel }

// clientLimits returns the bounds of what is held for clients.
func (s Settings) clientLimits() clientbudget.Limits {
	var opts []clientbudget.LimitOption
	if d := s.file.Clients.StallMS.in(time.Millisecond); d > 0 {
		opts = append(opts, clientbudget.Stall(d))
	}
	if n := s.file.Clients.MinBytesPerS.value; n > 0 {
		opts = append(opts, clientbudget.MinRate(int64(n)))
	}
	if n := s.file.Clients.AcceptPerS.value; n > 0 {
		opts = append(opts, clientbudget.AcceptRate(n))
	}
	return clientbudget.NewLimits(s.Memory(), s.MaxFDs(), opts...)
}

// Memory returns the memory of the VM in bytes, or 0 if it is unknown.
func (s Settings) Memory() int64 { return int64(math.Round(s.file.MemoryMB.value * 1e6)) }

// MaxFDs returns the number of descriptors that the process may open, or 0 if it
// is unknown.
func (s Settings) MaxFDs() int { return int(s.file.MaxFDs.value) }

// Placement returns the rule by which targets are chosen, "latency" or "cost".
func (s Settings) Placement() string { return cmp.Or(s.file.Placement, placementLatency) }

// PlacedByCost reports whether requests are placed by their expected cost rather
// than by the median latency of their route.
func (s Settings) PlacedByCost() bool { return s.Placement() == placementCost }
