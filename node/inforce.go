package node

import (
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/route"
)

// kindInForce is a kind of object that only daemons hold. While the store has an
// older configuration than the one in force, because it was restored from an older
// copy, daemons pass on the one in force in it. A daemon that starts then would
// accept API keys that were withdrawn since the copy was made. Its version is that
// of the configuration, so that nothing older replaces it.
const kindInForce = "config_in_force"

// newestConfig decodes the configuration from the store, and the one that another
// daemon has in force, and returns the newer of the two that have changed, or nil.
// It returns the error of the first that cannot be decoded.
func (d *Daemon) newestConfig() (*route.Table, error) {
	stored, position, err := platform.DecodeConfig(d.mirror.Objects(platform.KindConfig), d.configPosition)
	d.configPosition = position
	passedOn, position, errPassedOn := platform.DecodeConfig(d.mirror.Objects(kindInForce), d.inForcePosition)
	d.inForcePosition = position
	if err == nil {
		err = errPassedOn
	}
	newest, kind := stored, platform.KindConfig
	if passedOn != nil && (stored == nil || passedOn.Version() > stored.Version()) {
		newest, kind = passedOn, kindInForce
	}
	switch {
	case newest != nil && (d.table == nil || newest.Version() > d.table.Version()):
		d.configSpec = platform.ConfigSpec(d.mirror.Objects(kind))
	case stored != nil && stored.Version() < d.table.Version(), d.table != nil && d.storeLostConfig():
		d.passOnConfig()
	}
	return newest, err
}

// storeLostConfig reports whether the store has no configuration since it was
// restored from an older copy.
func (d *Daemon) storeLostConfig() bool {
	at, ok := d.mirror.Cursor(platform.KindConfig)
	if !ok || at.Era() == 0 {
		return false
	}
	for _, o := range d.mirror.Objects(platform.KindConfig) {
		if o.Position().Era() == at.Era() {
			return false
		}
	}
	return true
}

// passOnConfig makes the configuration in force available to other daemons. With
// a store that states no era, those without accounts need it only after the
// operator's next change, as before.
func (d *Daemon) passOnConfig() {
	version := d.table.Version()
	at := mirror.NewPosition(d.mirror.Eras().Current(), version)
	if d.table.Accounts() == nil && at.Era() == 0 || d.configSpec == nil {
		return
	}
	if known, ok := d.mirror.Versions()[kindInForce]; ok && !known.Before(at) {
		return
	}
	d.log.Warn().Uint64("configuration", version).Msg("the store has an older configuration; the one in force stays")
	d.mirror.Replace(kindInForce, []mirror.Object{platform.ConfigObject(version, d.configSpec)}, at)
}
