package daemon

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/cell"
	"medlaryard.example/medlaryard/entry"
	"medlaryard.example/medlaryard/home"
	"medlaryard.example/medlaryard/lease"
)

// refreshInterval bounds the time until a lease that ended by itself is seen in
// status. Sends check the lease themselves.
const refreshInterval = 250 * time.Millisecond

// view is what queries read: one state of catalogue and membership, without locks.
type view struct {
	estate    catalogue.Estate
	known     bool // A catalogue is in force.
	groups    []catalogue.Group
	homes     map[string][]entry.Home
	members   map[string]entry.Home // By incarnation.
	addresses addressBook
}

// refreshLoop follows the cell.
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

// refreshView is called by the loop and by the shutdown; a view built before the
// daemon began to leave must not replace a later one.
func (d *daemon) refreshView() {
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	v := &view{homes: make(map[string][]entry.Home), members: make(map[string]entry.Home)}
	v.estate, v.known = d.cell.Estate()
	homes := make(map[string]entry.Home)
	for _, m := range d.cell.Members() {
		h := d.homeOf(m)
		homes[m.Name()] = h
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
				h, ok := homes[m.Name()]
				if !ok {
					h = d.homeOf(m)
				}
				list = append(list, h)
			}
			v.homes[g.ID()] = list
		}
	}
	d.view.Store(v)
}

func (d *daemon) homeOf(m cell.Member) entry.Home {
	return entry.NewHome(entry.HomeSpec{
		Name: m.Name(), Incarnation: m.Incarnation(), PeerAddress: m.PeerAddress(),
		Self: m.Incarnation() == d.incarnation,
	})
}

// refreshShares applies the shares of this daemon to its homes when one changed
// or apply is set.
func (d *daemon) refreshShares(apply bool) {
	v := d.view.Load()
	d.source.pass(v.groups, func(shares map[string]lease.Share) {
		if d.shares.set(shares, time.Now()) || apply {
			d.homes.Apply(home.NewAssignment(home.AssignmentSpec{Estate: v.estate, Shares: shares}))
		}
	})
}
