package node

import "medlaryard.example/medlaryard/fleet"

// ready reports whether callers should come to this daemon.
func (d *Daemon) ready() bool { return !d.leaving.Load() && d.engine.Table() != nil }

// addresses returns the addresses that a caller of that region is to use.
func (d *Daemon) addresses(region string) []string {
	offers := d.offers()
	if len(offers) == 0 {
		return nil
	}
	return choose(offers, region)
}

// offers returns the daemons that callers may be told to use. This one is among
// them if it can serve, or if no other is known that could.
func (d *Daemon) offers() []offer {
	serving := d.serving.names()
	offers := d.offersOf(d.fleet.Alive(), func(m fleet.Member) standing {
		if serving[m.Name()] {
			return serves
		}
		return standby
	})
	if len(offers) == 0 {
		offers = d.offersOf(d.fleet.Known(), func(fleet.Member) standing { return silent })
	}
	self := offer{front: d.settings.Callers(), region: d.settings.Region(), standing: silent}
	able := d.able()
	switch {
	case able && d.serving.includesSelf():
		self.standing = serves
	case able:
		self.standing = standby
	}
	if d.ready() && (able || len(offers) == 0) {
		offers = append(offers, self)
	}
	return offers
}

// offersOf returns those of the daemons that can serve.
func (d *Daemon) offersOf(members []fleet.Member, rank func(fleet.Member) standing) []offer {
	var offers []offer
	for _, m := range members {
		if m.Serving() && !m.Leaving() {
			offers = append(offers, offer{front: m.Front(), region: d.settings.RegionOf(m.Zone()), standing: rank(m)})
		}
	}
	return offers
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
	reachable, all := d.reach()
	return float64(reachable) >= ableShare*float64(all)
}

// reach returns how many of the services in use have a target that accepts
// connections, and how many there are. The caller holds the daemon's lock.
func (d *Daemon) reach() (reachable, all int) {
	for name := range d.used {
		all++
		if g := d.groups[name]; g != nil && g.Reachable() {
			reachable++
		}
	}
	return reachable, all
}
