package node

// ready reports whether callers should come to this daemon.
func (d *Daemon) ready() bool { return !d.leaving.Load() && d.engine.Table() != nil }

// addresses returns the addresses that callers are to use.
func (d *Daemon) addresses() []string {
	var list []string
	if d.ready() && d.serving.includesSelf() && d.able() {
		list = append(list, d.settings.Callers())
	}
	serving := d.serving.names()
	var standby []string
	for _, m := range d.fleet.Alive() {
		switch {
		case !m.Serving() || m.Leaving():
		case serving[m.Name()]:
			list = append(list, m.Front())
		default:
			standby = append(standby, m.Front())
		}
	}
	if len(list) > 0 {
		return list
	}
	return d.lastResort(standby)
}

// lastResort returns addresses when no serving daemon is known to be able to
// serve. Others that were heard lately come first, because only this daemon may
// be cut off.
func (d *Daemon) lastResort(standby []string) []string {
	if len(standby) > 0 {
		return standby
	}
	var list []string
	for _, m := range d.fleet.Known() {
		if m.Serving() && !m.Leaving() {
			list = append(list, m.Front())
		}
	}
	if d.ready() && (d.able() || len(list) == 0) {
		list = append([]string{d.settings.Callers()}, list...)
	}
	return list
}

// ableShare is the part of the services in use of which a daemon must reach some
// target to be named to callers.
const ableShare = 0.6

// able reports whether this daemon reaches enough targets to serve callers.
func (d *Daemon) able() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return false
	}
	reachable, all := 0, 0
	for name := range d.used {
		all++
		if g := d.groups[name]; g != nil && g.Reachable() {
			reachable++
		}
	}
	return float64(reachable) >= ableShare*float64(all)
}
