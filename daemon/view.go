package daemon

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/cell"
	"medlaryard.example/medlaryard/entry"
	"medlaryard.example/medlaryard/home"
	"medlaryard.example/medlaryard/lease"
)

// refreshInterval is the maximum time until the status shows that a lease expired.
// Each send checks the lease itself.
const refreshInterval = 250 * time.Millisecond

// view is an immutable snapshot of catalogue and membership, which queries read
// without locks.
type view struct {
	estate          catalogue.Estate
	hasCatalogue    bool // A catalogue is in force.
	groups          []catalogue.Group
	preferenceLists map[string][]entry.Home
	members         map[string]entry.Home // By incarnation.
	addresses       addressBook
}

// refreshLoop updates view, shares and conditions when the cell changes, and shares
// and conditions every refreshInterval.
func (d *daemon) refreshLoop() {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	cs := newConditions(d.clk.Boot())
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.changed:
			d.refreshView()
			d.refreshShares(true)
		case <-t.C:
			d.refreshShares(false)
		}
		cs.observe(d.clk.Boot(), d.cell.Status())
	}
}

// refreshView rebuilds the view. Both refreshLoop and shutdown call it; the lock
// prevents a view that was built before the daemon began to leave from replacing a
// later one.
func (d *daemon) refreshView() {
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	v := &view{preferenceLists: make(map[string][]entry.Home), members: make(map[string]entry.Home)}
	v.estate, v.hasCatalogue = d.cell.Estate()
	homesByName := make(map[string]entry.Home)
	for _, m := range d.cell.Members() {
		h := d.newHome(m)
		homesByName[m.Name()] = h
		v.members[m.Incarnation()] = h
		self := m.Incarnation() == d.incarnation
		if !m.Leaving() && (!self || !d.leaving.Load()) {
			a := entry.NewAddress(m.CallerAddress(), m.Incarnation(), m.Domain())
			v.addresses.add(v.estate, callerAddress{a, m.Name()})
		}
	}
	for _, s := range v.estate.Services() {
		for _, g := range s.Groups() {
			v.groups = append(v.groups, g)
			order := d.cell.PreferenceList(g)
			list := make([]entry.Home, 0, len(order))
			for _, m := range order {
				h, ok := homesByName[m.Name()]
				if !ok {
					h = d.newHome(m)
				}
				list = append(list, h)
			}
			v.preferenceLists[g.ID()] = list
		}
	}
	d.view.Store(v)
}

func (d *daemon) newHome(m cell.Member) entry.Home {
	return entry.NewHome(entry.HomeSpec{
		Name: m.Name(), Incarnation: m.Incarnation(), PeerAddress: m.PeerAddress(),
		Self: m.Incarnation() == d.incarnation,
	})
}

// refreshShares applies the shares of this daemon to its homes if one changed or force
// is set.
func (d *daemon) refreshShares(force bool) {
	v := d.view.Load()
	d.source.applyShares(v.groups, func(shares map[string]lease.Share) {
		if d.shares.set(shares, time.Now()) || force {
			d.homes.Apply(home.NewAssignment(home.AssignmentSpec{Estate: v.estate, Shares: shares}))
		}
	})
}
